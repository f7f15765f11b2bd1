package io.figspan.cli.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.beust.jcommander.JCommander;
import io.figspan.cli.Command;
import io.figspan.cli.Console;
import io.figspan.cli.ExitCode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a host that is left out silently, and against a time line that shows an effect before its cause. */
class OperatorCommandsTest {
    private static final String ADDRESS = "127.0.0.1";
    private final Vertx vertx = Vertx.vertx();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final Console console = new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(out, true, StandardCharsets.UTF_8));

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    @Test
    void eventsOfAllHostsStandInTheOrderOfTheHybridClock() throws Exception {
        int first = serveTimeline(
                event(2_000, 0, "h1", "entry", "r1", "sent"),
                event(2_000, 2, "h1", "entry", "r1", "answered"),
                event(1_000, 0, "h1", "member", "", "joined"));
        int second = serveTimeline(
                event(2_000, 1, "h2", "ticket", "r1", "executed"), event(2_000, 1, "h2", "ticket", "r2", "other"));
        run(new TimelineCommand(), "--host", ADDRESS + ":" + first + "," + ADDRESS + ":" + second, "--request", "r1");
        run(new TimelineCommand(), "--host", ADDRESS + ":" + second, "--host", ADDRESS + ":" + first, "--last", "4");
        run(new TimelineCommand(), "--host", ADDRESS + ":" + first, "--part", "member", "--json");
        Approvals.verify(out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void aHostBehindTheWantedVersionOrWithARefusedOneFailsTheStatus() throws Exception {
        String good = ADDRESS + ":" + serve(Map.of("/admin/status", status("h1", 7, "null")));
        String behind = ADDRESS + ":" + serve(Map.of("/admin/status", status("h2", 6, "null")));
        String refusing = ADDRESS + ":" + serve(Map.of("/admin/status", status("h3", 7, "\"version 8 is refused\"")));
        assertEquals(ExitCode.OK, run(new StatusCommand(), "--host", good, "--settings-version", "7"));
        assertEquals(ExitCode.OK, run(new StatusCommand(), "--host", behind));
        assertEquals(
                ExitCode.FAILED, run(new StatusCommand(), "--host", good + "," + behind, "--settings-version", "7"));
        assertEquals(ExitCode.FAILED, run(new StatusCommand(), "--host", refusing, "--settings-version", "7"));
    }

    @Test
    void aHostThatAnswersWithAnErrorIsNamedAndFailsTheCommand() throws Exception {
        String good = ADDRESS + ":" + serve(Map.of("/admin/status", status("h1", 7, "null")));
        String failing = ADDRESS + ":" + serve(Map.of());
        assertEquals(ExitCode.UNREACHABLE, run(new StatusCommand(), "--host", good + "," + failing));
        assertEquals(ExitCode.UNREACHABLE, run(new TimelineCommand(), "--host", failing));
        String otherShape = ADDRESS + ":" + serve(Map.of("/admin/timeline", "[]"));
        assertEquals(ExitCode.UNREACHABLE, run(new TimelineCommand(), "--host", otherShape));
        assertEquals(ExitCode.UNREACHABLE, run(new HostsCommand(), "--host", failing, "--organisation", "acme"));
    }

    @Test
    void theEntryListComesFromTheFirstHostThatAnswers() throws Exception {
        String failing = ADDRESS + ":" + serve(Map.of());
        String list = "{\"organisation\":\"acme\",\"hosts\":[{\"host\":\"h1\",\"address\":\"127.0.0.1\",\"port\":7400,"
                + "\"availabilityZone\":\"az-1\"}],\"keepSeconds\":60,\"settingsVersion\":7}";
        String good = ADDRESS + ":" + serve(Map.of("/v1/hosts?organisation=acme", list));
        assertEquals(ExitCode.OK, run(new HostsCommand(), "--host", failing + "," + good, "--organisation", "acme"));
        Approvals.verify(out.toString(StandardCharsets.UTF_8).replace(failing, "FIRST"));
    }

    /** A host sends only the newest events that match, so the request must be named to it. */
    @Test
    void theRequestIsNamedToTheHosts() throws Exception {
        int host = serve(Map.of("/admin/timeline?request=r%2F1", timeline()));
        assertEquals(ExitCode.OK, run(new TimelineCommand(), "--host", ADDRESS + ":" + host, "--request", "r/1"));
    }

    private int serveTimeline(String... events) throws Exception {
        String document = timeline(events);
        return serve(Map.of("/admin/timeline", document, "/admin/timeline?request=r1", document));
    }

    private ExitCode run(Command command, String... args) {
        JCommander.newBuilder().addObject(command).build().parse(args);
        return command.run(console);
    }

    private int serve(Map<String, String> documents) throws Exception {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> {
            String document = documents.get(request.uri());
            request.response().setStatusCode(document == null ? 404 : 200).end(document == null ? "" : document);
        });
        return await(server.listen(0, ADDRESS)).actualPort();
    }

    private static String timeline(String... events) {
        return "{\"host\":\"h\",\"events\":[" + String.join(",", events) + "]}";
    }

    private static String event(long wallMs, int counter, String host, String part, String request, String text) {
        return String.format(
                "{\"wallMs\":%d,\"counter\":%d,\"host\":\"%s\",\"part\":\"%s\",\"kind\":\"k\","
                        + "\"requestId\":\"%s\",\"text\":\"%s\"}",
                wallMs, counter, host, part, request, text);
    }

    private static String status(String host, long version, String error) {
        return "{\"host\":\"" + host + "\",\"incarnation\":1,\"availabilityZone\":\"az-1\",\"settingsVersion\":"
                + version + ",\"settingsError\":" + error + ",\"members\":[],\"state\":\"serving\"}";
    }

    /** Waits for a result; the bound only keeps a broken build from hanging. */
    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
