"""Steps for the operators' command and listener."""

from behave import then, when
from fleet import call
from steps.fleet_steps import get_declarations_folder

ORGANISATION_TOML = 'name = "hobart"\ntemplate = "library"\n[parameters]\n'


@when("the operator runs {command:w} on the folder")
def run_on_folder(context, command):
    context.completed = context.fleet.run_cli(
        command, str(get_declarations_folder(context))
    )


@when("the operator runs {command:w} with {options} on the folder")
def run_with_options(context, command, options):
    folder = str(get_declarations_folder(context))
    context.completed = context.fleet.run_cli(
        command, folder, *options.split()
    )


@when("the operator runs {command}")
def run_command(context, command):
    context.completed = context.fleet.run_cli(*command.split())


@then("the command exits with code {code:d} and prints: {text}")
def command_exits(context, code, text):
    output = context.completed.stdout + context.completed.stderr
    assert context.completed.returncode == code, (
        context.completed.returncode,
        output,
    )
    assert text in output, output


def write_parameters(context, deadline_ms):
    path = get_declarations_folder(context) / "organisations" / "hobart.toml"
    lines = f'branch = "hobart"\ndeadline_ms = {deadline_ms}\n'
    path.write_text(ORGANISATION_TOML + lines)


@when("an organisation sets a parameter outside its bounds")
def set_invalid_parameter(context):
    write_parameters(context, 5)


@when("the parameter is corrected to {value:d}")
def correct_parameter(context, value):
    write_parameters(context, value)


@then("the metrics of {host:w} have percentiles for {name:w} and short work")
def metrics_have_percentiles(context, host, name):
    text = call(
        context.fleet.operator_address(host), "GET", "/metrics"
    ).body.decode()
    prefix = f'wasabitray_request_seconds{{organisation="{name}"'
    lines = [line for line in text.splitlines() if line.startswith(prefix)]
    assert any('work="short"' in line and "0.99" in line for line in lines), (
        text
    )
