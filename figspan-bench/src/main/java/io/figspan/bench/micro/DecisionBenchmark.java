package io.figspan.bench.micro;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.time.Deadline;
import io.figspan.policy.admission.AdmissionDecision;
import io.figspan.policy.admission.AdmissionPolicy;
import io.figspan.policy.admission.AdmissionRequest;
import io.figspan.policy.affinity.PrefixAffinity;
import io.figspan.policy.dispatch.DispatchAction;
import io.figspan.policy.dispatch.DispatchSettings;
import io.figspan.policy.dispatch.Prompt;
import io.figspan.policy.dispatch.PromptDispatcher;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.fair.PriorityClass;
import io.figspan.policy.limit.OrganisationLimit;
import io.figspan.policy.limit.OrganisationLimits;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.policy.placement.LengthAwarePlacement;
import io.figspan.policy.placement.LoadReport;
import io.figspan.policy.placement.LoadView;
import io.figspan.policy.placement.LoadView.EngineLoad;
import io.figspan.policy.placement.PromptCost;
import io.figspan.policy.subset.EngineLocation;
import io.figspan.policy.subset.HomeEngines;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One decision on a host that uses 24 runners, the size of a subset at the design scale. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmark {
    private static final int RUNNERS = 24;
    private static final int SENDS_PER_RUNNER = 8;
    private static final long NOW_NANOS = 10_000_000_000L;
    private static final PromptCost COST = new PromptCost(4_000, 100, 0, 0);
    private static final Deadline DEADLINE = new Deadline(60_000_000_000L);

    private final EngineSpeed speed = new EngineSpeed(40_000, 2_048, 50_000_000, 400_000);
    private final LoadView view = new LoadView(speed);
    private final SplittableRandom random = new SplittableRandom(1);
    private final AdmissionPolicy admission = new AdmissionPolicy(speed, AdmissionPolicy.DEFAULT_MARGIN);
    private final OrganisationId organisation = OrganisationId.of("organisation");
    private PromptDispatcher dispatcher;
    private long nextId = 1_000;

    /** Fills the view and creates the dispatcher. */
    @Setup
    public void setUp() {
        List<BackendServerId> servers = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            BackendServerId server = BackendServerId.of("runner-" + i);
            servers.add(server);
            view.add(new EngineLocation(server, AvailabilityZoneId.of("az-" + i % 3)));
            view.report(server, new LoadReport(1, i * 1_000L, 10, 100_000, 400_000, 0), NOW_NANOS - 2_000_000_000L);
            for (int send = 0; send < SENDS_PER_RUNNER; send++) {
                view.recordSent(server, i * 10L + send, 4_000, 4_000, 4_000, NOW_NANOS - send * 500_000_000L);
            }
        }
        HostId self = HostId.of("host-0");
        view.setHomeEngines(HomeEngines.choose(self, List.of(self, HostId.of("host-1"), HostId.of("host-2")), servers));
        OrganisationLimits limits = new OrganisationLimits(self, 0);
        limits.configure(
                organisation,
                new OrganisationLimit(1e15, 1, 1),
                List.of(new EntryHost(self, AvailabilityZoneId.of("az-0"))),
                0);
        dispatcher = new PromptDispatcher(
                DispatchSettings.DEFAULT,
                view,
                new PrefixAffinity(PrefixAffinity.DEFAULT_LOAD_BOUND),
                limits,
                any -> 1,
                random);
    }

    /** Placement alone. */
    @Benchmark
    public Optional<EngineLoad> placement() {
        return LengthAwarePlacement.DEFAULT.choose(COST, view, any -> false, random, NOW_NANOS);
    }

    /** Admission alone. */
    @Benchmark
    public AdmissionDecision admission() {
        return admission.decide(new AdmissionRequest(4_000, 100, 10_000, DEADLINE), NOW_NANOS);
    }

    /** The whole decision on a prompt, its first token and its end. */
    @Benchmark
    public List<DispatchAction> dispatch() {
        long id = nextId++;
        Prompt prompt = new Prompt(id, organisation, PriorityClass.INTERACTIVE, COST, DEADLINE, NOW_NANOS);
        List<DispatchAction> actions = dispatcher.offer(prompt, NOW_NANOS);
        if (actions.get(0) instanceof DispatchAction.Send send) {
            dispatcher.recordFirstToken(prompt, send.server(), NOW_NANOS, NOW_NANOS);
            view.recordFinished(send.server(), id);
        }
        return actions;
    }
}
