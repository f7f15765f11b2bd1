package io.figspan.cluster.quarantine;

import io.figspan.cluster.LogicalTime;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.SuspectKind;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.PromptPartId;
import io.figspan.core.id.RequestFingerprint;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Hosts in front of engines, in logical time. Prompts with one part crash each engine that begins to answer them. Hosts
 * exchange messages that take a few milliseconds and may be lost.
 */
final class SimulatedFleet {
    static final PromptPartId CRASHING = PromptPartId.of("c0de");
    static final PromptPartId SECOND_CRASHING = PromptPartId.of("c0df");
    static final PromptPartId COMMON = PromptPartId.of("f1");

    /** A request that crashes each engine which runs it; sound prompts have its parts too. */
    static final RequestIdentity DEADLY =
            new RequestIdentity(fingerprint("deadly"), List.of(COMMON, PromptPartId.of("d1")));

    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TICK_NANOS = 40 * MS;
    private static final long MAX_MESSAGE_NANOS = 5 * MS;
    private static final long RESTART_NANOS = 3_000 * MS;
    private static final long MIN_BEGIN_NANOS = 30 * MS;
    private static final long MAX_BEGIN_NANOS = 300 * MS;

    /** Interval of the events of an answer; the first one comes after this time. */
    private static final long EVENT_NANOS = 90 * MS;

    private static final int EVENTS = 16;

    /** Events of a deadly request before its engine crashes, at most. */
    private static final int MAX_DEADLY_EVENTS = 4;

    private static final long DEADLY_GAP_NANOS = 375 * MS;
    private static final int DOCUMENTS = 40;
    private static final int MAX_ATTEMPTS = 2;

    /**
     * What is played.
     *
     * @param crashingPerSecond prompts with the crashing part
     * @param crashingDepth position of the crashing part among the shared parts
     * @param lossPercent share of the messages between hosts that are lost
     * @param passages parts that all prompts share, besides the first one
     */
    record Load(
            int hosts,
            int engines,
            double soundPerSecond,
            double crashingPerSecond,
            int crashingDepth,
            int lossPercent,
            int passages) {
        Load(
                int hosts,
                int engines,
                double soundPerSecond,
                double crashingPerSecond,
                int crashingDepth,
                int lossPercent) {
            this(hosts, engines, soundPerSecond, crashingPerSecond, crashingDepth, lossPercent, 0);
        }

        /** The parts of a sound prompt on one of the documents. */
        private List<PromptPartId> parts(int document) {
            List<PromptPartId> parts = new ArrayList<>(List.of(COMMON));
            for (int passage = 0; passage < passages; passage++) {
                parts.add(PromptPartId.of("a" + passage));
            }
            parts.add(PromptPartId.of("d" + document));
            return parts;
        }
    }

    /** A prompt on its way. */
    private static final class Prompt {
        final RequestIdentity identity;
        int attempts;
        boolean hasBegun;

        Prompt(RequestIdentity identity) {
            this.identity = identity;
        }

        boolean isCrashing() {
            return identity.sharedParts().contains(CRASHING)
                    || identity.sharedParts().contains(SECOND_CRASHING);
        }

        boolean isDeadly() {
            return identity.equals(DEADLY);
        }
    }

    /** An attempt at an engine. */
    private record Attempt(Prompt prompt, Host host, long sentNanos) {}

    private static final class Host {
        final HostId id;
        CrashQuarantine quarantine;
        long resumesNanos;
        boolean isCutOff;

        Host(HostId id, CrashQuarantine quarantine) {
            this.id = id;
            this.quarantine = quarantine;
        }
    }

    private final class Engine {
        final BackendServerId id;
        final Set<Attempt> attempts = new LinkedHashSet<>();
        long incarnation = 1;
        boolean isUp = true;

        Engine(int number) {
            id = BackendServerId.of("engine-" + number);
        }

        BackendIncarnation current() {
            return new BackendIncarnation(id, incarnation);
        }

        void crash() {
            List<Attempt> lost = new ArrayList<>(attempts);
            BackendIncarnation crashed = current();
            attempts.clear();
            isUp = false;
            time.after(RESTART_NANOS, () -> {
                incarnation++;
                isUp = true;
            });
            for (Attempt attempt : lost) {
                connectionLost(attempt, crashed);
            }
        }
    }

    private final Load load;
    private final SplittableRandom random;
    private final LogicalTime time = new LogicalTime();
    private final List<Host> hosts = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Set<HostId> hostIds = new HashSet<>();
    private final List<Long> crashesNanos = new ArrayList<>();
    private final List<Long> crashingSentNanos = new ArrayList<>();
    private final List<Long> soundArrivedNanos = new ArrayList<>();
    private final List<Long> soundRefusedNanos = new ArrayList<>();
    private final List<Long> deadlySentNanos = new ArrayList<>();
    private int promptNumber;
    private int partsQuarantined;

    SimulatedFleet(Load load, long seed) {
        this.load = load;
        this.random = new SplittableRandom(seed);
        for (int host = 0; host < load.hosts(); host++) {
            hostIds.add(HostId.of("host-" + host));
        }
        for (HostId id : hostIds) {
            hosts.add(new Host(id, newQuarantine(id)));
        }
        for (int engine = 0; engine < load.engines(); engine++) {
            engines.add(new Engine(engine));
        }
        hosts.forEach(host -> time.every(TICK_NANOS, () -> tick(host)));
        if (load.soundPerSecond() > 0) {
            scheduleArrival(load.soundPerSecond(), false);
        }
        if (load.crashingPerSecond() > 0) {
            scheduleArrival(load.crashingPerSecond(), true);
        }
    }

    private static RequestFingerprint fingerprint(String target) {
        return RequestFingerprint.of(Optional.empty(), "POST", target);
    }

    private CrashQuarantine newQuarantine(HostId id) {
        CrashQuarantine quarantine = new CrashQuarantine(id, time.nowNanos());
        quarantine.hostsChanged(hostIds);
        return quarantine;
    }

    void runFor(long durationMs) {
        time.runFor(durationMs);
    }

    // Hosts

    /** Restarts the first hosts, which lose all that they know. */
    void restartHosts(int count) {
        for (Host restarted : hosts.subList(0, count)) {
            restarted.quarantine = newQuarantine(restarted.id);
            for (Host other : hosts) {
                other.quarantine
                        .evidenceForNewHost(restarted.id, time.nowNanos())
                        .forEach(evidence -> send(other, restarted, evidence));
            }
        }
    }

    private void tick(Host host) {
        if (time.nowNanos() >= host.resumesNanos) {
            execute(host, host.quarantine.tick(time.nowNanos()));
        }
    }

    /** Suspends the first host; what it receives meanwhile waits in no particular order. */
    void pauseFirstHost(long durationMs) {
        hosts.get(0).resumesNanos = time.nowNanos() + durationMs * MS;
    }

    /** Cuts the first hosts off from the others, or connects all again if there are none. */
    void cutOff(int count) {
        for (int host = 0; host < hosts.size(); host++) {
            hosts.get(host).isCutOff = host < count;
        }
    }

    private void onceRunning(Host host, Runnable action) {
        long waitNanos = host.resumesNanos - time.nowNanos();
        if (waitNanos <= 0) {
            action.run();
        } else {
            time.after(waitNanos + random.nextLong(MAX_MESSAGE_NANOS), () -> onceRunning(host, action));
        }
    }

    private void execute(Host host, List<QuarantineAction> actions) {
        for (QuarantineAction action : actions) {
            if (action instanceof QuarantineAction.SendToAll all) {
                hosts.stream().filter(other -> other != host).forEach(other -> send(host, other, all.message()));
            } else if (action instanceof QuarantineAction.SendToHost one) {
                hosts.stream().filter(to -> to.id.equals(one.host())).forEach(to -> send(host, to, one.message()));
            } else if (action instanceof QuarantineAction.SendToSome some) {
                for (int i = 0; i < CrashQuarantine.GOSSIP_FANOUT; i++) {
                    send(host, hosts.get(random.nextInt(hosts.size())), some.message());
                }
            } else if (action instanceof QuarantineAction.Quarantined quarantined
                    && quarantined.suspects().iterator().next().kind() == SuspectKind.PROMPT_PART) {
                partsQuarantined++;
            }
        }
    }

    private void send(Host from, Host to, PeerMessage.CrashEvidence message) {
        if (from.isCutOff == to.isCutOff && random.nextInt(100) >= load.lossPercent()) {
            time.after(
                    random.nextLong(MS, MAX_MESSAGE_NANOS),
                    () -> onceRunning(to, () -> to.quarantine.receive(message, time.nowNanos())));
        }
    }

    // Prompts

    private void scheduleArrival(double perSecond, boolean isCrashing) {
        long gapNanos = (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1_000 * MS);
        time.after(gapNanos, () -> {
            arrive(isCrashing);
            scheduleArrival(perSecond, isCrashing);
        });
    }

    private void arrive(boolean isCrashing) {
        List<PromptPartId> parts = load.parts(random.nextInt(DOCUMENTS));
        if (isCrashing) {
            parts.add(load.crashingDepth(), CRASHING);
        } else {
            soundArrivedNanos.add(time.nowNanos());
        }
        var unused = sendNew(parts);
    }

    private Prompt sendNew(List<PromptPartId> parts) {
        Prompt prompt = new Prompt(new RequestIdentity(fingerprint("prompt-" + promptNumber++), parts));
        sendOnceRunning(prompt, hosts.get(random.nextInt(hosts.size())));
        return prompt;
    }

    /** Sends one more prompt with these parts at any host; nothing is sent if the time has passed. */
    void sendAfter(long delayMs, List<PromptPartId> parts) {
        if (delayMs < 0) {
            return;
        }
        time.after(delayMs * MS, () -> {
            Prompt prompt = sendNew(parts);
            if (!prompt.isCrashing()) {
                soundArrivedNanos.add(time.nowNanos());
            }
        });
    }

    private void sendOnceRunning(Prompt prompt, Host host) {
        onceRunning(host, () -> send(prompt, host));
    }

    /** Lets the deadly request come again and again, at any of the first hosts. */
    void sendDeadlyRequests(int count, int firstHosts) {
        for (int number = 0; number < count; number++) {
            time.after(number * DEADLY_GAP_NANOS, () -> sendOnceRunning(new Prompt(DEADLY), randomHost(firstHosts)));
        }
    }

    private Host randomHost(int firstHosts) {
        return hosts.get(random.nextInt(firstHosts));
    }

    private void send(Prompt prompt, Host host) {
        List<Engine> up = engines.stream().filter(engine -> engine.isUp).toList();
        if (up.isEmpty()) {
            return;
        }
        if (host.quarantine.refusalOfSend(prompt.identity, time.nowNanos()).isPresent()) {
            recordRefusal(prompt);
            return;
        }
        prompt.attempts++;
        if (prompt.isCrashing()) {
            crashingSentNanos.add(time.nowNanos());
        } else if (prompt.isDeadly()) {
            deadlySentNanos.add(time.nowNanos());
        }
        Engine engine = up.get(random.nextInt(up.size()));
        Attempt attempt = new Attempt(prompt, host, time.nowNanos());
        engine.attempts.add(attempt);
        time.after(random.nextLong(MIN_BEGIN_NANOS, MAX_BEGIN_NANOS), () -> begin(attempt, engine));
    }

    private void recordRefusal(Prompt prompt) {
        if (!prompt.isCrashing() && !prompt.isDeadly() && prompt.attempts == 0) {
            soundRefusedNanos.add(time.nowNanos());
        }
    }

    private void begin(Attempt attempt, Engine engine) {
        if (!engine.attempts.contains(attempt)) {
            return;
        }
        if (attempt.prompt().isCrashing()) {
            crash(engine);
            return;
        }
        if (attempt.prompt().isDeadly()) {
            long eventsNanos = random.nextInt(MAX_DEADLY_EVENTS + 1) * EVENT_NANOS;
            time.after(eventsNanos, () -> crashIfRunning(attempt, engine));
        }
        time.after(EVENT_NANOS, () -> respond(attempt, engine, 1));
    }

    private void crashIfRunning(Attempt attempt, Engine engine) {
        if (engine.attempts.contains(attempt)) {
            crash(engine);
        }
    }

    private void crash(Engine engine) {
        crashesNanos.add(time.nowNanos());
        engine.crash();
    }

    private void respond(Attempt attempt, Engine engine, int event) {
        if (!engine.attempts.contains(attempt)) {
            return;
        }
        CrashQuarantine quarantine = attempt.host().quarantine;
        attempt.prompt().hasBegun = true;
        quarantine.serverResponded(engine.current(), attempt.sentNanos(), time.nowNanos());
        if (event == 1) {
            quarantine.answerBegan(attempt.prompt().identity, time.nowNanos());
        }
        if (event < EVENTS) {
            time.after(EVENT_NANOS, () -> respond(attempt, engine, event + 1));
        } else {
            engine.attempts.remove(attempt);
            quarantine.requestServed(attempt.prompt().identity, time.nowNanos());
        }
    }

    private void connectionLost(Attempt attempt, BackendIncarnation crashed) {
        Prompt prompt = attempt.prompt();
        onceRunning(attempt.host(), () -> {
            attempt.host().quarantine.serverCrashed(crashed, prompt.identity, !prompt.hasBegun, time.nowNanos());
            if (prompt.attempts < MAX_ATTEMPTS) {
                send(prompt, attempt.host());
            }
        });
    }

    /** Crashes a share of the engines at once, for a reason of their own. */
    void crashEngines(int count) {
        engines.stream().filter(engine -> engine.isUp).limit(count).toList().forEach(Engine::crash);
    }

    /** Resets all connections of the first host to the engines, which go on. */
    void resetConnectionsOfFirstHost() {
        Host host = hosts.get(0);
        for (Engine engine : engines) {
            List<Attempt> reset = engine.attempts.stream()
                    .filter(attempt -> attempt.host() == host)
                    .toList();
            engine.attempts.removeAll(reset);
            reset.forEach(attempt -> connectionLost(attempt, engine.current()));
        }
    }

    // Results

    int crashes() {
        return crashesNanos.size();
    }

    /** Prompts with the crashing part that were sent later than this after the fifth crash. */
    long crashingSentAfterFifthCrash(long delayMs) {
        return countAfterFifthCrash(crashingSentNanos, delayMs);
    }

    /** Sends of prompts with a crashing part later than this from the start. */
    long crashingSentAfter(long timeMs) {
        return countAfter(crashingSentNanos, timeMs * MS);
    }

    long soundArrivedAfterFifthCrash(long delayMs) {
        return countAfterFifthCrash(soundArrivedNanos, delayMs);
    }

    long soundRefusedAfterFifthCrash(long delayMs) {
        return countAfterFifthCrash(soundRefusedNanos, delayMs);
    }

    private long countAfterFifthCrash(List<Long> instantsNanos, long delayMs) {
        return countAfterCrash(5, instantsNanos, delayMs);
    }

    private long countAfterCrash(int crash, List<Long> instantsNanos, long delayMs) {
        int index = Math.min(crash, crashesNanos.size()) - 1;
        return index < 0 ? 0 : countAfter(instantsNanos, crashesNanos.get(index) + delayMs * MS);
    }

    private static long countAfter(List<Long> instantsNanos, long fromNanos) {
        return instantsNanos.stream().filter(at -> at > fromNanos).count();
    }

    /** Sends of the deadly request later than this after the third crash. */
    long deadlySentAfterThirdCrash(long delayMs) {
        return countAfterCrash(3, deadlySentNanos, delayMs);
    }

    /** Sends of the deadly request later than this from the start. */
    long deadlySentAfter(long timeMs) {
        return countAfter(deadlySentNanos, timeMs * MS);
    }

    int partsQuarantined() {
        return partsQuarantined;
    }

    int soundRefused() {
        return soundRefusedNanos.size();
    }

    int soundArrived() {
        return soundArrivedNanos.size();
    }
}
