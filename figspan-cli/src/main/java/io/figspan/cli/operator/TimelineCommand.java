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
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** {@code timeline}: merges the time lines of hosts. */
public final class TimelineCommand implements Command {
    private static final String PATH = "/admin/timeline";
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final HostOptions hosts = new HostOptions();

    @Parameter(names = "--request", description = "Show only the events of this request id")
    private String request;

    @Parameter(names = "--part", description = "Show only the events of this part, such as ticket")
    private String part;

    @Parameter(names = "--last", description = "Show at most this number of newest events")
    private int last = 1_000;

    @Override
    public String name() {
        return "timeline";
    }

    @Override
    public String summary() {
        return "Merge the time lines of hosts, oldest event first; --host takes operator ports.";
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
        if (last < 1) {
            throw HostOptions.usage("--last: " + last + " is below 1");
        }
        List<HostReader.Answer> answers;
        try (HostReader reader = new HostReader(hosts.timeoutMs())) {
            answers = reader.readAll(hosts.addresses(), path()).stream()
                    .map(TimelineCommand::requireEvents)
                    .toList();
        }
        List<JsonNode> documents = answers.stream()
                .filter(HostReader.Answer::isOk)
                .map(HostReader.Answer::document)
                .toList();
        print(TimelineMerge.last(TimelineMerge.merge(documents, this::isWanted), last), console);
        for (HostReader.Answer answer : answers) {
            if (!answer.isOk()) {
                console.error(answer.address() + ": " + answer.failure());
            }
        }
        return documents.size() == answers.size() ? ExitCode.OK : ExitCode.UNREACHABLE;
    }

    /** Names the request to the hosts, because they send only the newest events that match. */
    private String path() {
        return request == null ? PATH : PATH + "?request=" + URLEncoder.encode(request, StandardCharsets.UTF_8);
    }

    /** Refuses a document of another shape, which would otherwise look like a host without events. */
    private static HostReader.Answer requireEvents(HostReader.Answer answer) {
        boolean valid = !answer.isOk() || answer.document().path("events").isArray();
        return valid ? answer : answer.refused("the answer has no events");
    }

    private boolean isWanted(TimelineMerge.Event event) {
        boolean ofRequest = request == null || request.equals(event.requestId());
        boolean ofPart = part == null || part.equals(event.part());
        return ofRequest && ofPart;
    }

    private void print(List<TimelineMerge.Event> events, Console console) {
        if (common.json()) {
            ObjectNode document = JsonNodeFactory.instance.objectNode();
            document.putArray("events");
            events.forEach(event -> document.withArray("events").add(event.toJson()));
            console.json(document);
            return;
        }
        TextTable table = new TextTable("TIME", "HOST", "PART", "KIND", "REQUEST", "TEXT");
        for (TimelineMerge.Event event : events) {
            String time = TIME.format(Instant.ofEpochMilli(event.timestamp().wallMs()));
            table.row(
                    time + "+" + event.timestamp().counter(),
                    event.host(),
                    event.part(),
                    event.kind(),
                    event.requestId(),
                    event.text());
        }
        table.print(console);
    }
}
