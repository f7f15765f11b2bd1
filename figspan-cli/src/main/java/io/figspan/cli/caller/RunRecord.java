package io.figspan.cli.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.figspan.settings.cfg.PeerAddress;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Reads what the stand-ins know: which orders were run how often, and which holds engines still have. */
final class RunRecord {
    private static final long CALL_TIMEOUT_MS = 3_000;
    private static final long POLL_MS = 500;

    /** Longest wait for holds to be returned: the longest deadline of a quickstart prompt plus the grace period. */
    private static final long MAX_HOLD_WAIT_SECONDS = 60;

    private final CallerHttp http;
    private final List<PeerAddress> services;
    private final List<PeerAddress> engines;

    RunRecord(CallerHttp http, List<PeerAddress> services, List<PeerAddress> engines) {
        this.http = http;
        this.services = services;
        this.engines = engines;
    }

    /** Runs by order name, over all services. */
    Map<String, Integer> read() {
        Map<String, Integer> runs = new HashMap<>();
        for (PeerAddress service : services) {
            JsonNode answer = get(service, "/control/runs").blockingGet();
            answer.path("runs")
                    .properties()
                    .forEach(
                            entry -> runs.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
        }
        return runs;
    }

    /** Waits until no engine has a hold, and returns how many are left at the end. An engine that is down has none. */
    int awaitNoHolds() {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_HOLD_WAIT_SECONDS);
        int left = countHolds();
        while (left > 0 && System.nanoTime() - endNanos < 0) {
            Flowable.timer(POLL_MS, TimeUnit.MILLISECONDS).blockingSubscribe();
            left = countHolds();
        }
        return left;
    }

    private int countHolds() {
        return Flowable.fromIterable(engines)
                .flatMapSingle(engine -> get(engine, "/v1/report/fresh")
                        .map(report -> report.path("holds").size())
                        .onErrorReturnItem(0))
                .reduce(0, Integer::sum)
                .blockingGet();
    }

    private Single<JsonNode> get(PeerAddress address, String path) {
        return http.call(address, HttpMethod.GET, path, CallHead.NONE, "", CALL_TIMEOUT_MS)
                .map(reply -> CallerHttp.parse(reply.body(), JsonNode.class));
    }
}
