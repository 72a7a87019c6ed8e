"""Steps about the operators' command and listener."""

from behave import then, when
from fleet import call
from steps.fleet_steps import get_declarations_folder

PARAMETERS = 'name = "hobart"\ntemplate = "library"\n[parameters]\n'


@when("the operator runs {command:w} on the folder")
def run_on_folder(context, command):
    context.ran = context.fleet.run_cli(
        command, str(get_declarations_folder(context))
    )


@when("the operator runs {command:w} with {options} on the folder")
def run_with_options(context, command, options):
    folder = str(get_declarations_folder(context))
    context.ran = context.fleet.run_cli(command, folder, *options.split())


@when("the operator runs {command}")
def run(context, command):
    context.ran = context.fleet.run_cli(*command.split())


@then("it ends with code {code:d} and says {text}")
def ended(context, code, text):
    output = context.ran.stdout + context.ran.stderr
    assert context.ran.returncode == code, (context.ran.returncode, output)
    assert text in output, output


def write_parameters(context, deadline_ms):
    path = get_declarations_folder(context) / "organisations" / "hobart.toml"
    lines = f'branch = "hobart"\ndeadline_ms = {deadline_ms}\n'
    path.write_text(PARAMETERS + lines)


@when("an organisation gets a parameter out of its bounds")
def break_parameter(context):
    write_parameters(context, 5)


@when("the parameter is mended to {value:d}")
def mend_parameter(context, value):
    write_parameters(context, value)


@then("the metrics of {host:w} have percentiles for {name:w} and short work")
def has_metrics(context, host, name):
    text = call(context.fleet.operators(host), "GET", "/metrics").body.decode()
    wanted = f'wasabitray_request_seconds{{organisation="{name}"'
    lines = [li for li in text.splitlines() if li.startswith(wanted)]
    assert any('work="short"' in li and "0.99" in li for li in lines), text
