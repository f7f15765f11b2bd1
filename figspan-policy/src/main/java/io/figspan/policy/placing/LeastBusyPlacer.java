package io.figspan.policy.placing;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendServerId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.random.RandomGenerator;

/**
 * Sends each job to the server with the most free slots. Designed for loads of short jobs of similar length whose
 * cost is not known in advance.
 */
public final class LeastBusyPlacer implements Placer {
    /** Maximum queue length; each queued job occupies memory for its request body. */
    static final int MAX_WAITING = 512;

    /** Retry delay sent to the caller of a job that found no server. */
    static final long RETRY_AFTER_MS = 250;

    private final RandomGenerator random;
    private final RequestGate gate;
    private final Map<BackendServerId, ServerState> servers = new HashMap<>();
    private final Map<Job, ServerState> placed = new HashMap<>();
    private final Queue<Job> queue = new ArrayDeque<>();

    private static final class ServerState {
        final BackendServerId id;
        int slots;
        int running;
        final FailureBackoff failureBackoff = new FailureBackoff();
        boolean available = true;

        ServerState(BackendServerId id) {
            this.id = id;
        }
    }

    public LeastBusyPlacer(RandomGenerator random) {
        this(random, RequestGate.OPEN);
    }

    public LeastBusyPlacer(RandomGenerator random, RequestGate gate) {
        this.random = random;
        this.gate = gate;
    }

    @Override
    public void serversChanged(List<AvailableServer> availableServers, long nowNanos) {
        servers.values().forEach(server -> server.available = false);
        for (AvailableServer availableServer : availableServers) {
            ServerState server = servers.computeIfAbsent(availableServer.id(), ServerState::new);
            server.available = true;
            server.slots = availableServer.slots();
        }
        servers.values().removeIf(server -> !server.available && server.running == 0);
    }

    @Override
    public List<Placement> arrived(Job job, long nowNanos) {
        ServerState server = choose(job, nowNanos);
        if (server != null) {
            return List.of(send(job, server, nowNanos));
        }
        Optional<Placement> refusal = ClosedServers.refusal(job, availableServers(), gate, nowNanos);
        if (refusal.isPresent()) {
            return List.of(refusal.get());
        }
        if (queue.size() >= MAX_WAITING || servers.isEmpty()) {
            return List.of(refuse(job));
        }
        queue.add(job);
        return List.of();
    }

    private List<BackendServerId> availableServers() {
        return servers.values().stream()
                .filter(server -> server.available)
                .map(server -> server.id)
                .toList();
    }

    @Override
    public List<Placement> ended(Job job, AttemptOutcome outcome, long nowNanos) {
        ServerState server = placed.remove(job);
        if (server == null) {
            return List.of();
        }
        server.running--;
        double nowMs = Millis.of(nowNanos);
        if (outcome == AttemptOutcome.BROKEN) {
            server.failureBackoff.recordFailure(nowMs);
        } else if (outcome == AttemptOutcome.TURNED_AWAY) {
            server.failureBackoff.recordRejection(nowMs);
        } else if (outcome == AttemptOutcome.SERVED) {
            server.failureBackoff.recordSuccess();
        }
        return tick(nowNanos);
    }

    @Override
    public void withdrawn(Job job) {
        queue.remove(job);
    }

    @Override
    public List<Job> takeWaiting() {
        List<Job> waiting = List.copyOf(queue);
        queue.clear();
        return waiting;
    }

    @Override
    public List<Placement> tick(long nowNanos) {
        List<Placement> placements = new ArrayList<>();
        for (Iterator<Job> waiting = queue.iterator(); waiting.hasNext(); ) {
            Job job = waiting.next();
            ServerState server = choose(job, nowNanos);
            Optional<Placement> placement = server == null
                    ? ClosedServers.refusal(job, availableServers(), gate, nowNanos)
                    : Optional.of(send(job, server, nowNanos));
            if (placement.isPresent()) {
                waiting.remove();
                placements.add(placement.get());
            }
        }
        return placements;
    }

    @Override
    public int waiting() {
        return queue.size();
    }

    private ServerState choose(Job job, long nowNanos) {
        ServerState best = null;
        int tied = 1;
        for (ServerState server : servers.values()) {
            if (!isUsable(server, job, nowNanos)) {
                continue;
            }
            if (best == null || server.running < best.running) {
                best = server;
                tied = 1;
            } else if (server.running == best.running && random.nextInt(++tied) == 0) {
                best = server;
            }
        }
        return best;
    }

    private boolean isUsable(ServerState server, Job job, long nowNanos) {
        return server.available
                && server.running < server.slots
                && !server.failureBackoff.isActive(Millis.of(nowNanos))
                && job.maySendTo(server.id)
                && gate.admits(server.id, nowNanos);
    }

    private Placement send(Job job, ServerState server, long nowNanos) {
        String reason = "running=" + server.running + " slots=" + server.slots;
        server.running++;
        gate.sent(server.id, nowNanos);
        placed.put(job, server);
        job.tried().add(server.id);
        return new Placement.Send(job, server.id, OptionalInt.empty(), List.of(), reason);
    }

    private static Placement refuse(Job job) {
        Problem problem = Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "no backend server takes new work")
                .withRetryAfterMs(RETRY_AFTER_MS);
        return new Placement.Refuse(job, problem, "no backend server is available");
    }
}
