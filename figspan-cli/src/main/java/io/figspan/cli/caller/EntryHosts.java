package io.figspan.cli.caller;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.figspan.settings.cfg.PeerAddress;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The entry list of one organisation, as a caller keeps it: asked for at any known address, kept for
 * {@code keepSeconds}, and used in rotation so that the next address follows a failed one.
 */
final class EntryHosts {
    private static final long ASK_TIMEOUT_MS = 1_000;

    /** One address of the answer. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Host(
            @JsonProperty("host") String host,
            @JsonProperty("address") String address,
            @JsonProperty("port") int port) {}

    /** Answer to {@code GET /v1/hosts}. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Answer(@JsonProperty("hosts") List<Host> hosts, @JsonProperty("keepSeconds") int keepSeconds) {}

    private final CallerHttp http;
    private final String organisation;
    private final List<PeerAddress> seeds;
    private List<PeerAddress> kept = List.of();
    private long keptUntilNanos;
    private int rotation;

    EntryHosts(CallerHttp http, String organisation, List<PeerAddress> seeds) {
        this.http = http;
        this.organisation = organisation;
        this.seeds = List.copyOf(seeds);
    }

    /** The next address to use. Falls back to the last list, then to the seeds, when no host answers. */
    Single<PeerAddress> next() {
        boolean fresh = !kept.isEmpty() && System.nanoTime() - keptUntilNanos < 0;
        if (fresh) {
            return Single.just(rotate());
        }
        return ask(0).map(ignored -> rotate());
    }

    private Single<Boolean> ask(int attempt) {
        List<PeerAddress> known = kept.isEmpty() ? seeds : kept;
        if (attempt >= known.size() + seeds.size()) {
            return Single.just(false);
        }
        PeerAddress asked = attempt < known.size() ? known.get(attempt) : seeds.get(attempt - known.size());
        return http.call(
                        asked,
                        HttpMethod.GET,
                        "/v1/hosts?organisation=" + organisation,
                        CallHead.NONE,
                        "",
                        ASK_TIMEOUT_MS)
                .map(reply -> keep(http.read(reply, Answer.class)))
                .onErrorResumeNext(cause -> ask(attempt + 1));
    }

    private boolean keep(Answer answer) {
        if (answer.hosts().isEmpty()) {
            throw new IllegalStateException("the entry list is empty");
        }
        kept = answer.hosts().stream()
                .map(host -> new PeerAddress(host.address(), host.port()))
                .toList();
        keptUntilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(answer.keepSeconds());
        return true;
    }

    private PeerAddress rotate() {
        List<PeerAddress> usable = kept.isEmpty() ? seeds : kept;
        rotation++;
        return usable.get(Math.floorMod(rotation, usable.size()));
    }
}
