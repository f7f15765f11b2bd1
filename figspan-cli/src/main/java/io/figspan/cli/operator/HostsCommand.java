package io.figspan.cli.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.figspan.cli.Command;
import io.figspan.cli.CommonOptions;
import io.figspan.cli.Console;
import io.figspan.cli.ExitCode;
import io.figspan.cli.TextTable;
import io.figspan.core.id.OrganisationId;
import java.util.EnumSet;
import java.util.Set;

/** {@code hosts}: shows the entry list of an organisation, from the first host that answers. */
public final class HostsCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final HostOptions hosts = new HostOptions();

    @Parameter(names = "--organisation", description = "Organisation whose entry list is shown", required = true)
    private String organisation;

    @Override
    public String name() {
        return "hosts";
    }

    @Override
    public String summary() {
        return "Show the entry list of an organisation; --host takes caller ports.";
    }

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public Set<ExitCode> exitCodes() {
        return EnumSet.of(ExitCode.OK, ExitCode.USAGE, ExitCode.UNREACHABLE);
    }

    @Override
    public ExitCode run(Console console) {
        String path = "/v1/hosts?organisation="
                + OrganisationId.of(organisation).value().replace("#", "%23");
        try (HostReader reader = new HostReader(hosts.timeoutMs())) {
            for (HostReader.Answer answer : reader.readAll(hosts.addresses(), path)) {
                if (answer.isOk()) {
                    print(answer.document(), console);
                    return ExitCode.OK;
                }
                console.error(answer.address() + ": " + answer.failure());
            }
        }
        return ExitCode.UNREACHABLE;
    }

    private void print(JsonNode document, Console console) {
        if (common.json()) {
            console.json(document);
            return;
        }
        TextTable table = new TextTable("HOST", "ADDRESS", "PORT", "AVAILABILITY ZONE");
        for (JsonNode host : document.path("hosts")) {
            table.row(
                    host.path("host").asText(),
                    host.path("address").asText(),
                    host.path("port").asText(),
                    host.path("availabilityZone").asText());
        }
        table.print(console);
        console.line("keep for " + document.path("keepSeconds").asText() + " s; settings version "
                + document.path("settingsVersion").asText());
    }
}
