package io.figspan.cli.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.figspan.cli.Command;
import io.figspan.cli.CommonOptions;
import io.figspan.cli.Console;
import io.figspan.cli.ExitCode;
import io.figspan.cli.TextTable;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** {@code status}: shows the state and the settings version of hosts. */
public final class StatusCommand implements Command {
    private static final String PATH = "/admin/status";

    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final HostOptions hosts = new HostOptions();

    @Parameter(
            names = "--settings-version",
            description = "Fail unless each host has at least this version in force and refuses none")
    private Long settingsVersion;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "Show the state and settings version of hosts; --host takes operator ports.";
    }

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public Set<ExitCode> exitCodes() {
        return EnumSet.of(ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.UNREACHABLE);
    }

    @Override
    public ExitCode run(Console console) {
        List<HostReader.Answer> answers;
        try (HostReader reader = new HostReader(hosts.timeoutMs())) {
            answers = reader.readAll(hosts.addresses(), PATH);
        }
        if (common.json()) {
            console.json(toJson(answers));
        } else {
            toTable(answers).print(console);
            answers.stream().filter(HostReader.Answer::isOk).forEach(answer -> printError(answer, console));
        }
        if (!answers.stream().allMatch(HostReader.Answer::isOk)) {
            return ExitCode.UNREACHABLE;
        }
        boolean inForce = settingsVersion == null || answers.stream().allMatch(this::isInForce);
        return inForce ? ExitCode.OK : ExitCode.FAILED;
    }

    private boolean isInForce(HostReader.Answer answer) {
        return answer.document().path("settingsVersion").asLong() >= settingsVersion
                && settingsError(answer).isEmpty();
    }

    private static String settingsError(HostReader.Answer answer) {
        JsonNode error = answer.document().path("settingsError");
        return error.isTextual() ? error.textValue() : "";
    }

    private static void printError(HostReader.Answer answer, Console console) {
        if (!settingsError(answer).isEmpty()) {
            console.line(answer.document().path("host").asText() + ": " + settingsError(answer));
        }
    }

    private static TextTable toTable(List<HostReader.Answer> answers) {
        TextTable table = new TextTable("ADDRESS", "HOST", "INCARNATION", "ZONE", "STATE", "SETTINGS", "MEMBERS");
        for (HostReader.Answer answer : answers) {
            if (!answer.isOk()) {
                table.row(answer.address().toString(), "-", "-", "-", answer.failure(), "-", "-");
                continue;
            }
            table.row(
                    answer.address().toString(),
                    answer.document().path("host").asText(),
                    answer.document().path("incarnation").asText(),
                    answer.document().path("availabilityZone").asText(),
                    answer.document().path("state").asText(),
                    answer.document().path("settingsVersion").asText(),
                    Integer.toString(answer.document().path("members").size()));
        }
        return table;
    }

    private static ObjectNode toJson(List<HostReader.Answer> answers) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.putArray("hosts");
        for (HostReader.Answer answer : answers) {
            ObjectNode entry = document.withArray("hosts")
                    .addObject()
                    .put("address", answer.address().toString());
            if (answer.isOk()) {
                entry.set("status", answer.document());
            } else {
                entry.put("failure", answer.failure());
            }
        }
        return document;
    }
}
