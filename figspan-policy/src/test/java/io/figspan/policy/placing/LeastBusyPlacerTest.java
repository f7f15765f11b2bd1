package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.RunState;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.time.Deadline;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.policy.placing.Placer.AvailableServer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against uneven load of short jobs, work for failing servers, and refusals that claim the wrong run state. */
class LeastBusyPlacerTest {
    private static final int SLOTS = 2;

    private final LeastBusyPlacer placer = new LeastBusyPlacer(new SplittableRandom(1));
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private int jobs;

    private void servers(int count) {
        List<AvailableServer> available = new ArrayList<>();
        for (int server = 0; server < count; server++) {
            available.add(new AvailableServer(BackendServerId.of("s-" + server), SLOTS));
        }
        placer.serversChanged(available, nowNanos);
    }

    private Job job() {
        return new Job("job-" + jobs++, nowNanos, Deadline.after(nowNanos, 4_000), 0, 0, 1, Optional.empty());
    }

    private BackendServerId sent(Job job) {
        List<Placement> placements = placer.arrived(job, nowNanos);
        assertEquals(1, placements.size(), "the job is placed at once");
        return assertInstanceOf(Placement.Send.class, placements.get(0)).server();
    }

    @Test
    void jobsSpreadOverAllServersBeforeOneGetsASecond() {
        servers(3);
        Set<BackendServerId> used = new HashSet<>();
        for (int request = 0; request < 3; request++) {
            used.add(sent(job()));
        }
        assertEquals(3, used.size());
    }

    @Test
    void aQueuedJobGetsTheFirstSlotThatBecomesFree() {
        servers(1);
        Job first = job();
        sent(first);
        sent(job());
        Job waiting = job();
        assertTrue(placer.arrived(waiting, nowNanos).isEmpty());

        List<Placement> placements = placer.ended(first, AttemptOutcome.SERVED, nowNanos);

        assertEquals(waiting, placements.get(0).job());
    }

    @Test
    void anUnreachableServerIsRetriedOnlyAfterItsBackoff() {
        servers(2);
        Job broken = job();
        BackendServerId server = sent(broken);
        placer.ended(broken, AttemptOutcome.BROKEN, nowNanos);

        assertNotEquals(server, sent(job()));
        assertNotEquals(server, sent(job()));
        nowNanos += TimeUnit.MILLISECONDS.toNanos((long) FailureBackoff.INITIAL_MS);

        assertEquals(server, sent(job()));
    }

    @Test
    void aJobIsNotSentToTheSameServerTwice() {
        servers(2);
        Job job = job();
        BackendServerId first = sent(job);
        placer.ended(job, AttemptOutcome.FAILED, nowNanos);

        assertNotEquals(first, sent(job));
    }

    @Test
    void withoutServersAJobIsRefusedAtOnceAsNotRunWithARetryDelay() {
        servers(0);

        Placement.Refuse refused = assertInstanceOf(
                Placement.Refuse.class, placer.arrived(job(), nowNanos).get(0));

        assertEquals(RunState.NOT_RUN, refused.problem().run());
        assertTrue(refused.problem().retryAfterMs() > 0);
    }
}
