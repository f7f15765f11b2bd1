package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.PromptPartId;
import io.figspan.core.work.PrefillReader;
import io.figspan.gateway.http.ConnectionFailure;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.metrics.GatewayMetrics.RequestEnd;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import io.figspan.policy.placing.PromptLengths;
import io.figspan.settings.gateway.Route;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Writes the log events and metrics of one request. Each event method is named after its log event. */
final class CallLog {
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final Job job;
    private final Route route;
    private final List<PromptPartId> sharedParts;
    private final long settingsVersion;
    private final LongSupplier workViewAgeMs;

    CallLog(Forwarder forwarder, Job job, Route route, List<PromptPartId> sharedParts) {
        this.log = forwarder.log();
        this.metrics = forwarder.metrics();
        this.job = job;
        this.route = route;
        this.sharedParts = sharedParts;
        this.settingsVersion = forwarder.settingsVersion().number();
        this.workViewAgeMs = forwarder::workViewAgeMs;
    }

    private DecisionLog.Line line(String event) {
        return log.info(Part.ENTRY, event).text("request", job.requestId());
    }

    private long elapsedNanos() {
        return System.nanoTime() - job.arrivedNanos();
    }

    private long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(elapsedNanos());
    }

    void reserving(Placement.Send placement, int engines) {
        line("reserving")
                .number("engines", engines)
                .text("why", placement.reason())
                .write();
    }

    void reservationFailed(String reason) {
        metrics.count("reservations.failed");
        line("reservationFailed").text("reason", reason).write();
    }

    void sent(Placement.Send placement, int attempt, long nowNanos) {
        metrics.sent(nowNanos - job.arrivedNanos());
        line("sent")
                .text("route", route.name())
                .number("settings", settingsVersion)
                .number("viewAgeMs", workViewAgeMs.getAsLong())
                .text("server", placement.server())
                .number("attempt", attempt)
                .number("waitedMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivedNanos()))
                .number("leftMs", job.deadline().leftMs(nowNanos))
                .number(
                        "promptTokens",
                        job.prompt().map(PromptLengths::promptTokens).orElse(0L))
                .list("parts", sharedParts)
                .text("why", placement.reason())
                .text(
                        "readers",
                        placement.readers().stream().map(PrefillReader::server).toList())
                .write();
    }

    void answerBegan(BackendServerId server) {
        metrics.firstByte(elapsedNanos());
        line("answerBegan")
                .text("server", server)
                .number("afterMs", elapsedMs())
                .write();
    }

    void attemptFailed(Attempt failed, AttemptEnd end, String reason, CallResponse forwarded) {
        metrics.attemptFailed(end.name());
        failed.connectionFailure()
                .filter(ConnectionFailure::isWithinResponse)
                .ifPresent(failure -> metrics.incompleteResponse(failure.name()));
        failed.invalidResponse().ifPresent(invalid -> metrics.invalidResponse(invalid.part()));
        line("attemptFailed")
                .text("server", failed.server())
                .text("end", end)
                .text("reason", reason)
                .number("afterMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failed.sentNanos()))
                .number("events", forwarded.forwardedEvents())
                .number("bytes", forwarded.forwardedBytes())
                .write();
    }

    void serverSilent(BackendServerId server, long sentNanos, long events) {
        metrics.attemptFailed(AttemptEnd.SILENT.name());
        line("serverSilent")
                .text("server", server)
                .number("afterMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos))
                .number("events", events)
                .write();
    }

    void hedgeDecided(BackendServerId server, List<BackendServerId> cancelled) {
        line("hedgeDecided")
                .text("server", server)
                .text("cancelled", cancelled)
                .number("afterMs", elapsedMs())
                .write();
    }

    void hedgeFailed(BackendServerId server, String reason) {
        line("hedgeFailed").text("server", server).text("reason", reason).write();
    }

    void answered(int status, BackendServerId server, long events) {
        RequestEnd end = status < 500 ? RequestEnd.ANSWERED : RequestEnd.FAILED_BY_SERVER;
        metrics.requestEnded(end, elapsedNanos());
        line("answered")
                .number("status", status)
                .text("server", server)
                .number("afterMs", elapsedMs())
                .number("events", events)
                .write();
    }

    void refused(Problem problem, String reason, int attempts) {
        metrics.requestEnded(RequestEnd.REFUSED, elapsedNanos());
        line("refused")
                .text("route", route.name())
                .number("settings", settingsVersion)
                .number("status", problem.kind().httpStatus())
                .text("run", problem.run())
                .text("reason", reason)
                .number("retryAfterMs", problem.retryAfterMs())
                .number("attempts", attempts)
                .number("afterMs", elapsedMs())
                .write();
    }

    void brokenOff(String reason, CallResponse forwarded) {
        metrics.requestEnded(RequestEnd.BROKEN_OFF, elapsedNanos());
        line("brokenOff")
                .text("route", route.name())
                .text("reason", reason)
                .number("events", forwarded.forwardedEvents())
                .number("bytes", forwarded.forwardedBytes())
                .number("afterMs", elapsedMs())
                .write();
    }

    void callerLeft(int attempts, long events) {
        metrics.requestEnded(RequestEnd.CALLER_LEFT, elapsedNanos());
        line("callerLeft")
                .text("route", route.name())
                .number("attempts", attempts)
                .number("events", events)
                .number("afterMs", elapsedMs())
                .write();
    }

    void unexpectedEvent(CallState state, CallEvent event) {
        metrics.count("calls.unexpected");
        log.warn(Part.ENTRY, "unexpectedEvent")
                .text("request", job.requestId())
                .text("state", state)
                .text("occurred", event)
                .write();
    }
}
