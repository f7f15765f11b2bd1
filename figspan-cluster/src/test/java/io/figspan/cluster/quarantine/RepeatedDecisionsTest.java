package io.figspan.cluster.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.PromptPartId;
import io.figspan.core.id.RequestFingerprint;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays the same random evidence at hosts that decide on changes only and at hosts that decide in each tick. */
class RepeatedDecisionsTest {
    private static final int PLAYS = 6;
    private static final int STEPS = 800;
    private static final int HOSTS = 3;
    private static final int SERVERS = 8;
    private static final int MAX_REQUESTS_OF_CRASH = 3;
    private static final int LOSS_PERCENT = 20;
    private static final long MIN_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    private static final long MAX_PAUSE_NANOS = TimeUnit.MINUTES.toNanos(12);

    /** Makes each version differ from the one before, so that all evidence is decided on anew each time. */
    private static final class AlwaysChanged extends EvidenceVersion {
        @Override
        long current() {
            changed();
            return super.current();
        }
    }

    /** A host that decides on changes only, and one with the same evidence that decides in each tick. */
    private record Pair(CrashQuarantine tested, CrashQuarantine naive) {
        static Pair of(HostId host, Set<HostId> hosts) {
            Pair pair = new Pair(new CrashQuarantine(host, 0), new CrashQuarantine(host, new AlwaysChanged(), 0));
            pair.tested.hostsChanged(hosts);
            pair.naive.hostsChanged(hosts);
            return pair;
        }
    }

    private SplittableRandom random;
    private List<RequestIdentity> requests;
    private List<Pair> hosts;
    private long nowNanos;
    private int incarnation;
    private int quarantined;
    private int released;
    private int refused;

    /** Guards against a decision that is left out although the evidence or the crashes that count have changed. */
    @ParameterizedTest
    @ValueSource(ints = {2, 6, 16})
    void decisionsOnChangesEqualThoseOfEachTick(int parts) {
        for (int seed = 0; seed < PLAYS; seed++) {
            start(parts, seed);
            for (int step = 0; step < STEPS; step++) {
                playStep("seed " + seed + ", step " + step);
            }
        }
        assertTrue(quarantined > 0 && released > 0 && refused > 0, quarantined + " " + released + " " + refused);
    }

    private void start(int parts, int seed) {
        random = new SplittableRandom(seed);
        nowNanos = 0;
        requests = new ArrayList<>();
        for (int number = 0; number < 2 * parts; number++) {
            List<PromptPartId> held = new ArrayList<>();
            for (int part = 0; part < parts; part++) {
                if (random.nextInt(3) > 0) {
                    held.add(PromptPartId.of("d" + part));
                }
            }
            requests.add(new RequestIdentity(RequestFingerprint.of(Optional.empty(), "POST", "r" + number), held));
        }
        Set<HostId> ids = new HashSet<>();
        for (int host = 0; host < HOSTS; host++) {
            ids.add(HostId.of("host-" + host));
        }
        hosts = ids.stream().map(id -> Pair.of(id, ids)).toList();
    }

    private void playStep(String step) {
        boolean isPause = random.nextInt(400) == 0;
        nowNanos += random.nextLong(MIN_STEP_NANOS, isPause ? MAX_PAUSE_NANOS : MAX_STEP_NANOS);
        Pair host = hosts.get(random.nextInt(HOSTS));
        int event = random.nextInt(100);
        if (event < 12) {
            crash(host);
        } else if (event < 15) {
            answer(host);
        } else if (event < 18) {
            respond(host);
        } else if (event < 40) {
            send(host, step);
        }
        hosts.forEach(each -> tick(each, step));
    }

    private RequestIdentity anyRequest() {
        // The first ones are more frequent, so that some have enough crashes for a decision.
        return requests.get(random.nextInt(1 + random.nextInt(requests.size())));
    }

    private BackendIncarnation anyServer() {
        int latest = Math.max(0, incarnation - random.nextInt(SERVERS));
        return new BackendIncarnation(BackendServerId.of("server-" + latest % SERVERS), latest);
    }

    private void crash(Pair host) {
        incarnation++;
        BackendIncarnation server = anyServer();
        boolean mayBePart = random.nextInt(4) > 0;
        int count = 1 + random.nextInt(MAX_REQUESTS_OF_CRASH);
        for (int number = 0; number < count; number++) {
            RequestIdentity request = anyRequest();
            host.tested().serverCrashed(server, request, mayBePart, nowNanos);
            host.naive().serverCrashed(server, request, mayBePart, nowNanos);
        }
    }

    private void answer(Pair host) {
        RequestIdentity request = anyRequest();
        if (random.nextBoolean()) {
            host.tested().answerBegan(request, nowNanos);
            host.naive().answerBegan(request, nowNanos);
        } else {
            host.tested().requestServed(request, nowNanos);
            host.naive().requestServed(request, nowNanos);
        }
    }

    private void respond(Pair host) {
        BackendIncarnation server = anyServer();
        long sentNanos = nowNanos - random.nextLong(MAX_STEP_NANOS * 10);
        host.tested().serverResponded(server, sentNanos, nowNanos);
        host.naive().serverResponded(server, sentNanos, nowNanos);
    }

    private void send(Pair host, String step) {
        for (RequestIdentity request : requests) {
            Optional<CrashQuarantine.Refusal> expected = host.naive().refusal(request, nowNanos);
            assertEquals(expected, host.tested().refusal(request, nowNanos), step);
            refused += expected.isPresent() ? 1 : 0;
        }
        RequestIdentity sent = anyRequest();
        assertEquals(host.naive().refusalOfSend(sent, nowNanos), host.tested().refusalOfSend(sent, nowNanos), step);
    }

    private void tick(Pair host, String step) {
        List<QuarantineAction> expected = host.naive().tick(nowNanos);
        assertEquals(expected, host.tested().tick(nowNanos), step);
        for (QuarantineAction action : expected) {
            if (action instanceof QuarantineAction.SendToAll all) {
                deliver(host, all.message());
            } else if (action instanceof QuarantineAction.SendToSome some) {
                deliver(host, some.message());
            } else if (action instanceof QuarantineAction.Quarantined) {
                quarantined++;
            } else if (action instanceof QuarantineAction.Released) {
                released++;
            }
        }
    }

    private void deliver(Pair from, PeerMessage.CrashEvidence message) {
        for (Pair to : hosts) {
            if (!to.equals(from) && random.nextInt(100) >= LOSS_PERCENT) {
                to.tested().receive(message, nowNanos);
                to.naive().receive(message, nowNanos);
            }
        }
    }
}
