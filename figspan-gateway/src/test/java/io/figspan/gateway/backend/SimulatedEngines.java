package io.figspan.gateway.backend;

import io.figspan.control.hold.HoldAction;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.time.MonotonicClock;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Engines in logical time. Their holds expire at the end of the lease, as those of real engines do. */
final class SimulatedEngines implements EngineClient, MonotonicClock {
    private static final long NETWORK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final Map<BackendServerId, Engine> engines = new HashMap<>();
    private final List<Sent> sent = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long nextSequence;

    /** How an engine handles requests. */
    enum Behaviour {
        ANSWER {
            @Override
            Optional<EngineOutcome> handle(Runnable effect) {
                effect.run();
                return Optional.of(EngineOutcome.done());
            }
        },
        REFUSE {
            @Override
            Optional<EngineOutcome> handle(Runnable effect) {
                return Optional.of(EngineOutcome.refused("status 409"));
            }
        },
        REJECT_FOR_NOW {
            @Override
            Optional<EngineOutcome> handle(Runnable effect) {
                return Optional.of(EngineOutcome.rejected("status 503"));
            }
        },
        NEVER_ANSWER {
            @Override
            Optional<EngineOutcome> handle(Runnable effect) {
                return Optional.empty();
            }
        };

        /** Returns the response, or nothing if there is none; the effect is what a request asks for. */
        abstract Optional<EngineOutcome> handle(Runnable effect);
    }

    /** Kinds of requests. */
    enum RequestKind {
        RESERVE,
        RELEASE,
        PROBE
    }

    private record Sent(BackendServerId engine, RequestKind kind) {}

    private record Event(long atNanos, long sequence, Runnable action) {}

    private static final class Engine {
        private final Map<HoldHandle, Long> leaseEndsNanos = new HashMap<>();
        private final Map<RequestKind, Behaviour> behaviours = new HashMap<>();
        private boolean isRegistered = true;
        private boolean isLeaving;
        private boolean isPaused;

        private Engine(Behaviour behaviour) {
            setBehaviour(behaviour);
        }

        private void setBehaviour(Behaviour behaviour) {
            for (RequestKind kind : RequestKind.values()) {
                behaviours.put(kind, behaviour);
            }
        }
    }

    // Control by the test

    /** Registers an engine. */
    void add(BackendServerId id, Behaviour behaviour) {
        engines.put(id, new Engine(behaviour));
    }

    /** Changes how an engine handles all requests that reach it from now on. */
    void setBehaviour(BackendServerId id, Behaviour behaviour) {
        engines.get(id).setBehaviour(behaviour);
    }

    /** Changes how an engine handles the requests of one kind that reach it from now on. */
    void setBehaviour(BackendServerId id, RequestKind kind, Behaviour behaviour) {
        engines.get(id).behaviours.put(kind, behaviour);
    }

    /** Makes an engine drain; its holds stay. */
    void drain(BackendServerId id) {
        engines.get(id).isLeaving = true;
    }

    /** Sets whether an engine accepts no message. */
    void setPaused(BackendServerId id, boolean isPaused) {
        engines.get(id).isPaused = isPaused;
    }

    /** Ends the process of an engine, which ends its holds, and removes its registration. */
    void stop(BackendServerId id) {
        Engine engine = engines.get(id);
        engine.isRegistered = false;
        engine.leaseEndsNanos.clear();
        engine.setBehaviour(Behaviour.NEVER_ANSWER);
    }

    /** Advances the time, and delivers the requests and outcomes that are due until then. */
    void advanceTo(long targetNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= targetNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
        nowNanos = targetNanos;
    }

    /** Number of holds whose lease has not ended at an engine. */
    long heldCount(BackendServerId id) {
        return engines.get(id).leaseEndsNanos.values().stream()
                .filter(endNanos -> endNanos - nowNanos > 0)
                .count();
    }

    /** Number of holds whose lease has not ended at any engine. */
    long heldCount() {
        return engines.keySet().stream().mapToLong(this::heldCount).sum();
    }

    /** Number of requests of one kind that were sent to an engine. */
    long sentCount(BackendServerId id, RequestKind kind) {
        return sent.stream()
                .filter(request -> request.engine().equals(id) && request.kind() == kind)
                .count();
    }

    // Requests

    @Override
    public long nowNanos() {
        return nowNanos;
    }

    @Override
    public boolean isRegistered(BackendServerId id) {
        return engines.get(id).isRegistered;
    }

    @Override
    public boolean acceptsRequests(BackendServerId id) {
        return isRegistered(id) && !engines.get(id).isLeaving;
    }

    @Override
    public boolean isPaused(BackendServerId id) {
        return engines.get(id).isPaused;
    }

    @Override
    public boolean tryMessage(BackendServerId id) {
        return !engines.get(id).isPaused;
    }

    @Override
    public void reserve(HoldAction.Reserve reserve, long timeoutMs, Consumer<EngineOutcome> listener) {
        BackendServerId id = reserve.engine().server();
        long leaseNanos = TimeUnit.MILLISECONDS.toNanos(reserve.timeLeftMs());
        Runnable effect = () -> engines.get(id).leaseEndsNanos.put(reserve.handle(), nowNanos + leaseNanos);
        send(id, RequestKind.RESERVE, timeoutMs, effect, listener);
    }

    @Override
    public void release(HoldAction.Release release, long timeoutMs, Consumer<EngineOutcome> listener) {
        BackendServerId id = release.engine().server();
        Runnable effect = () -> engines.get(id).leaseEndsNanos.remove(release.handle());
        send(id, RequestKind.RELEASE, timeoutMs, effect, listener);
    }

    @Override
    public void probe(BackendServerId id, InetSocketAddress address, long timeoutMs, Consumer<EngineOutcome> listener) {
        send(id, RequestKind.PROBE, timeoutMs, () -> {}, listener);
    }

    private void send(
            BackendServerId id, RequestKind kind, long timeoutMs, Runnable effect, Consumer<EngineOutcome> listener) {
        sent.add(new Sent(id, kind));
        long timeoutAtNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        EngineOutcome timedOut = EngineOutcome.noResponse("no response within " + timeoutMs + " ms");
        schedule(nowNanos + NETWORK_DELAY_NANOS, () -> {
            Optional<EngineOutcome> response =
                    engines.get(id).behaviours.get(kind).handle(effect);
            long outcomeAtNanos = response.isPresent() ? nowNanos + NETWORK_DELAY_NANOS : timeoutAtNanos;
            schedule(outcomeAtNanos, () -> listener.accept(response.orElse(timedOut)));
        });
    }

    private void schedule(long atNanos, Runnable action) {
        events.add(new Event(atNanos, nextSequence, action));
        nextSequence++;
    }
}
