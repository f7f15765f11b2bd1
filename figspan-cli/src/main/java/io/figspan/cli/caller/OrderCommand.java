package io.figspan.cli.caller;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.figspan.cli.Command;
import io.figspan.cli.CommonOptions;
import io.figspan.cli.Console;
import io.figspan.cli.ExitCode;
import java.util.EnumSet;
import java.util.Set;

/** {@code figspan order}: sends one order with a ticket and tells whether it was run. */
public final class OrderCommand implements Command {
    @Parameter(
            names = {"--host", "--hosts"},
            required = true,
            description = "addresses of entry hosts, ADDRESS:PORT,...")
    private String hosts;

    @Parameter(names = "--organisation", required = true, description = "organisation to send as")
    private String organisation;

    @Parameter(names = "--service", required = true, description = "order service in the settings")
    private String service;

    @Parameter(names = "--order", required = true, description = "name of the order")
    private String order;

    @Parameter(names = "--deadline-ms", description = "time for the order")
    private long deadlineMs = 10_000;

    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @Override
    public String name() {
        return "order";
    }

    @Override
    public String summary() {
        return "Send one order with a ticket and tell whether it was run";
    }

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public Set<ExitCode> exitCodes() {
        return EnumSet.of(ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.OUTCOME_UNKNOWN);
    }

    @Override
    public ExitCode run(Console console) {
        OrderCall.Ask ask = new OrderCall.Ask(organisation, service, order, deadlineMs);
        return CallerSession.run(http -> {
            EntryHosts entry = new EntryHosts(http, organisation, Addresses.parse(hosts));
            OrderResult result = new OrderCall(http, entry, ask).run().blockingGet();
            if (common.json()) {
                console.json(JsonNodeFactory.instance
                        .objectNode()
                        .put("order", result.order())
                        .put("run", result.run())
                        .put("tickets", result.tickets())
                        .put("detail", result.detail()));
            } else {
                console.line(result.order() + ": " + result.run()
                        + (result.detail().isEmpty() ? "" : " (" + result.detail() + ")"));
            }
            return switch (result.run()) {
                case "ran" -> ExitCode.OK;
                case "notRun" -> ExitCode.FAILED;
                default -> ExitCode.OUTCOME_UNKNOWN;
            };
        });
    }
}
