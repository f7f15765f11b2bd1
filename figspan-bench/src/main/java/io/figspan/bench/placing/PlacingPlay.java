package io.figspan.bench.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.time.Deadline;
import io.figspan.core.work.PrefillReader;
import io.figspan.core.work.WorkChange;
import io.figspan.policy.cell.CellPlan;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import io.figspan.policy.placing.Placer;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.policy.placing.Placer.AvailableServer;
import io.figspan.policy.placing.PromptLengths;
import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Plays one load on hosts that each place with a placer of their own and tell each other what they placed. */
final class PlacingPlay {
    private static final double NETWORK_MS = 1;

    private static final double TICK_MS = 20;
    private static final int MAX_ATTEMPTS = 2;

    private final EventQueue events = new EventQueue();
    private final Random random;
    private final EngineProfile profile;
    private final List<RequestClass> classes;
    private final List<Burst> bursts;
    private final Map<BackendServerId, PassEngine> engines = new TreeMap<>();
    private final List<Host> hosts = new ArrayList<>();
    private final PlacingTally tally = new PlacingTally();
    private CellPlan cells;
    private Optional<OrganisationMix> organisations = Optional.empty();
    private long messages;

    PlacingPlay(
            EngineProfile profile,
            int engineCount,
            int hostCount,
            List<RequestClass> classes,
            List<Burst> bursts,
            Function<EngineProfile, Placer> placers,
            long seed) {
        this.profile = profile;
        this.classes = classes;
        this.bursts = bursts;
        this.random = new Random(seed);
        for (int i = 0; i < engineCount; i++) {
            engines.put(BackendServerId.of("engine-" + i), new PassEngine(events, profile));
        }
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host(HostId.of("host-" + i), placers.apply(profile)));
        }
    }

    /** Divides the fleet into cells, as large fleets are; without it, all hosts use all engines. */
    PlacingPlay inCells() {
        cells = CellPlan.divide(hosts.stream().map(host -> host.id).toList(), engines.keySet());
        return this;
    }

    /** Attributes each request to an organisation; without it, requests have none. */
    PlacingPlay of(OrganisationMix mix) {
        organisations = Optional.of(mix);
        return this;
    }

    /** Plays for a time and returns what callers got. */
    PlacingTally play(double lengthMs) {
        for (Host host : hosts) {
            List<AvailableServer> seats = engines.keySet().stream()
                    .filter(id -> cells == null || cells.mayUse(host.id, id))
                    .map(id -> new AvailableServer(id, profile.slots()))
                    .toList();
            host.placer.serversChanged(seats, events.nowNanos());
        }
        classes.forEach(requestClass -> scheduleArrival(requestClass, lengthMs));
        hosts.forEach(this::scheduleTick);
        double longestMs =
                classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(0);
        events.runUntil(lengthMs + 2 * longestMs);
        tally.messages(messages);
        tally.engines(engines.values().stream().mapToDouble(PassEngine::busyMs).sum() / engines.size() / lengthMs);
        return tally;
    }

    private void scheduleTick(Host host) {
        events.after(TICK_MS, () -> {
            host.carryOut(host.placer.tick(events.nowNanos()));
            scheduleTick(host);
        });
    }

    private void scheduleArrival(RequestClass requestClass, double lengthMs) {
        double factor = organisations.map(mix -> mix.rateFactor(events.nowMs())).orElse(1.0);
        for (Burst burst : bursts) {
            factor *= burst.isActive(requestClass.name(), events.nowMs()) ? burst.factor() : 1;
        }
        double rate = Math.max(0.01, factor * requestClass.perSecond());
        double waitMs = -Math.log(1 - random.nextDouble()) * TimeUnit.SECONDS.toMillis(1) / rate;
        double cappedMs = Math.min(waitMs, 1_000);
        events.after(cappedMs, () -> {
            if (events.nowMs() >= lengthMs) {
                return;
            }
            if (waitMs <= cappedMs) {
                hosts.get(random.nextInt(hosts.size())).arrived(requestClass);
            }
            scheduleArrival(requestClass, lengthMs);
        });
    }

    /** One host with its placer. */
    private final class Host {
        final HostId id;
        final Placer placer;
        final Map<Job, Call> calls = new HashMap<>();
        double reportDueMs = Double.POSITIVE_INFINITY;

        Host(HostId id, Placer placer) {
            this.id = id;
            this.placer = placer;
        }

        void arrived(RequestClass requestClass) {
            Call call = new Call(this, requestClass);
            calls.put(call.job, call);
            carryOut(placer.arrived(call.job, events.nowNanos()));
            call.watchPatience();
        }

        void carryOut(List<Placement> placements) {
            for (Placement placement : placements) {
                Call call = calls.get(placement.job());
                if (call != null) {
                    call.onPlacement(placement);
                }
            }
            if (!placements.isEmpty()) {
                workChanged(WorkChange.PLACED);
            }
        }

        private boolean concerns(Host other) {
            return cells == null || cells.hostsInCellOf(id).contains(other.id);
        }

        void workChanged(WorkChange news) {
            double delayMs = (double) news.delayMs();
            double dueMs = events.nowMs() + delayMs;
            if (dueMs >= reportDueMs) {
                return;
            }
            reportDueMs = dueMs;
            events.after(delayMs, () -> {
                if (reportDueMs > events.nowMs()) {
                    return;
                }
                reportDueMs = Double.POSITIVE_INFINITY;
                var work = placer.ownWork(events.nowNanos());
                for (Host other : hosts) {
                    if (other != this && concerns(other)) {
                        messages++;
                        events.after(
                                NETWORK_MS, () -> other.carryOut(other.placer.peerWork(id, work, events.nowNanos())));
                    }
                }
            });
        }
    }

    /** One request of a caller. */
    private final class Call implements PassEngine.WorkListener {
        private final Host host;
        private final RequestClass requestClass;
        private final double arrivedMs = events.nowMs();
        private final double promptTokens;
        private final int pieces;
        private final Optional<OrganisationId> organisation;
        private final Job job;
        private PassEngine.Work work;
        private double firstMs = -1;
        private double lastMs = arrivedMs;
        private double longestGapMs;
        private int attempts;
        private boolean finished;

        Call(Host host, RequestClass requestClass) {
            this.host = host;
            this.requestClass = requestClass;
            this.promptTokens = Math.floor(requestClass.drawPromptTokens(random));
            this.pieces = requestClass.drawPieces(random);
            this.organisation = organisations.map(mix -> mix.draw(random, events.nowMs()));
            long maxOutputTokens = (long) (2.5 * requestClass.meanPieces() * profile.decodeStepsPerPass());
            this.job = new Job(
                    requestClass.name() + "-" + events.nowNanos(),
                    events.nowNanos(),
                    Deadline.after(events.nowNanos(), (long) requestClass.deadlineMs()),
                    (long) (requestClass.targetMs() * 1e6),
                    (long) (requestClass.maxGapMs() * 1e6),
                    1,
                    Optional.of(new PromptLengths((long) promptTokens, maxOutputTokens, OptionalInt.empty())),
                    organisation.flatMap(id -> organisations.flatMap(mix -> mix.namedInJob(id))));
        }

        void onPlacement(Placement placement) {
            if (finished) {
                return;
            }
            if (placement instanceof Placement.Send send) {
                attempts++;
                events.after(NETWORK_MS, () -> submit(send));
            } else {
                finish(Outcome.REFUSED);
            }
        }

        private void submit(Placement.Send send) {
            if (finished) {
                return;
            }
            List<PassEngine> readers = new ArrayList<>();
            double held = 0;
            for (PrefillReader reader : send.readers()) {
                readers.add(engines.get(reader.server()));
                held += reader.heldTokens();
            }
            work = new PassEngine.Work(engines.get(send.server()), readers, promptTokens, held, pieces, this);
            engines.get(send.server()).submit(work);
        }

        @Override
        public void onPiece(int pieceCount) {
            events.after(NETWORK_MS, () -> {
                if (finished) {
                    return;
                }
                if (firstMs < 0) {
                    firstMs = events.nowMs();
                    host.workChanged(WorkChange.LOAD_REDUCED);
                } else {
                    longestGapMs = Math.max(longestGapMs, events.nowMs() - lastMs);
                }
                lastMs = events.nowMs();
                host.placer.pieceArrived(job, pieceCount, events.nowNanos());
            });
        }

        @Override
        public void onEnd() {
            events.after(NETWORK_MS, () -> {
                if (!finished) {
                    boolean late = firstMs - arrivedMs > requestClass.targetMs()
                            || (requestClass.maxGapMs() > 0 && longestGapMs > requestClass.maxGapMs());
                    finish(late ? Outcome.LATE : Outcome.ON_TIME);
                    ended(AttemptOutcome.SERVED);
                }
            });
        }

        @Override
        public void onRefused() {
            events.after(NETWORK_MS, () -> {
                if (finished) {
                    return;
                }
                work = null;
                host.carryOut(host.placer.ended(job, AttemptOutcome.TURNED_AWAY, events.nowNanos()));
                if (attempts < MAX_ATTEMPTS) {
                    host.carryOut(host.placer.arrived(job, events.nowNanos()));
                } else {
                    finish(Outcome.REFUSED);
                }
                host.workChanged(WorkChange.LOAD_REDUCED);
            });
        }

        void watchPatience() {
            double leftMs = Math.min(lastMs + requestClass.patienceMs(), arrivedMs + requestClass.deadlineMs())
                    - events.nowMs();
            events.after(Math.max(1, leftMs), () -> {
                if (finished) {
                    return;
                }
                boolean gone = events.nowMs() >= arrivedMs + requestClass.deadlineMs() - 1
                        || events.nowMs() - lastMs >= requestClass.patienceMs() - 1;
                if (!gone) {
                    watchPatience();
                    return;
                }
                finish(Outcome.LOST);
                if (work != null) {
                    work.engine.cancel(work);
                }
                ended(AttemptOutcome.CANCELLED);
            });
        }

        private void ended(AttemptOutcome end) {
            host.placer.withdrawn(job);
            host.carryOut(host.placer.ended(job, end, events.nowNanos()));
            host.workChanged(WorkChange.LOAD_REDUCED);
        }

        private void finish(Outcome outcome) {
            finished = true;
            host.calls.remove(job);
            double factor = requestClass.sizeFactor(promptTokens, pieces, profile);
            double firstTokenMs = firstMs < 0 ? Double.NaN : firstMs - arrivedMs;
            tally.add(requestClass, outcome, factor, arrivedMs, firstTokenMs);
            organisation.ifPresent(id -> tally.addTo(id, requestClass, outcome, factor, firstTokenMs));
        }
    }

    /** How a request ended. */
    enum Outcome {
        ON_TIME,
        LATE,
        REFUSED,
        LOST
    }
}
