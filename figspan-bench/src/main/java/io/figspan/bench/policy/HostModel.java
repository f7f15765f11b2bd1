package io.figspan.bench.policy;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.policy.affinity.PrefixAffinity;
import io.figspan.policy.dispatch.DispatchAction;
import io.figspan.policy.dispatch.DispatchSettings;
import io.figspan.policy.dispatch.Prompt;
import io.figspan.policy.dispatch.PromptDispatcher;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.limit.OrganisationLimit;
import io.figspan.policy.limit.OrganisationLimits;
import io.figspan.policy.placement.GroupPlacement;
import io.figspan.policy.placement.LoadView;
import io.figspan.policy.placement.LoadView.EngineLoad;
import io.figspan.policy.subset.EngineLocation;
import io.figspan.policy.subset.HomeEngines;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** One entry host: its own view of the load and the decisions on the prompts that reach it. */
abstract class HostModel {
    /** Seconds of its rate that an organisation may use at once. */
    private static final double BURST_SECONDS = 120;

    final LoadView view = new LoadView(Engine.SPEED);
    final PrefixAffinity affinity = new PrefixAffinity(PrefixAffinity.DEFAULT_LOAD_BOUND);

    HostModel(List<EngineLocation> runners) {
        runners.forEach(view::add);
    }

    abstract List<DispatchAction> offer(Prompt prompt, long nowNanos);

    /** Takes a prompt again whose group could not be acquired. */
    abstract List<DispatchAction> again(Prompt prompt, long nowNanos);

    abstract List<DispatchAction> poll(long nowNanos);

    /** Records the first token of a prompt that was sent to an engine. */
    void firstToken(Prompt prompt, BackendServerId server, long sentNanos, long nowNanos) {
        view.recordFirstToken(server, prompt.id());
    }

    static HostModel create(
            Scenario scenario,
            HostId self,
            List<EngineLocation> runners,
            Map<OrganisationId, Double> shares,
            List<EntryHost> roster,
            RandomGenerator random) {
        if (scenario.scheme() != Scheme.CURRENT) {
            return new Naive(scenario.scheme(), runners, random);
        }
        return new Current(scenario.settings(), self, runners, shares, roster, random);
    }

    /** The current policy. */
    private static final class Current extends HostModel {
        private final PromptDispatcher dispatcher;

        Current(
                DispatchSettings settings,
                HostId self,
                List<EngineLocation> runners,
                Map<OrganisationId, Double> shares,
                List<EntryHost> roster,
                RandomGenerator random) {
            super(runners);
            view.setHomeEngines(HomeEngines.choose(
                    self,
                    roster.stream().map(EntryHost::host).toList(),
                    runners.stream().map(EngineLocation::server).toList()));
            OrganisationLimits limits = new OrganisationLimits(self, 0);
            double fleetTokensPerSecond = (double) Engine.PREFILL_TOKENS_PER_SECOND * runners.size();
            shares.forEach((organisation, share) -> limits.configure(
                    organisation,
                    new OrganisationLimit(share * fleetTokensPerSecond, BURST_SECONDS, share),
                    roster,
                    0));
            dispatcher = new PromptDispatcher(settings, view, affinity, limits, shares::get, random);
        }

        @Override
        List<DispatchAction> offer(Prompt prompt, long nowNanos) {
            return dispatcher.offer(prompt, nowNanos);
        }

        @Override
        List<DispatchAction> again(Prompt prompt, long nowNanos) {
            return dispatcher.requeue(prompt, nowNanos);
        }

        @Override
        void firstToken(Prompt prompt, BackendServerId server, long sentNanos, long nowNanos) {
            dispatcher.recordFirstToken(prompt, server, sentNanos, nowNanos);
        }

        @Override
        List<DispatchAction> poll(long nowNanos) {
            return dispatcher.poll(nowNanos);
        }
    }

    /** A naive policy: placement alone, first come, first served, nothing is refused. */
    private static final class Naive extends HostModel {
        private final Scheme scheme;
        private final RandomGenerator random;

        Naive(Scheme scheme, List<EngineLocation> runners, RandomGenerator random) {
            super(runners);
            this.scheme = scheme;
            this.random = random;
        }

        @Override
        List<DispatchAction> offer(Prompt prompt, long nowNanos) {
            EngineLoad load = scheme.placement()
                    .choose(prompt.cost(), view, random, nowNanos)
                    .orElseThrow();
            long kvTokens = prompt.cost().kvTokens();
            if (GroupPlacement.DEFAULT.fitsOneEngine(prompt.cost(), Engine.SPEED)) {
                view.recordSent(
                        load.server(),
                        prompt.id(),
                        prompt.cost().promptTokens(),
                        prompt.cost().promptTokens(),
                        kvTokens,
                        nowNanos);
                return List.of(new DispatchAction.Send(prompt, load.server(), 0));
            }
            List<EngineLoad> ofZone = new ArrayList<>(view.engines());
            ofZone.removeIf(other -> !other.zone().equals(load.zone()));
            if (scheme == Scheme.FEWEST_OUTSTANDING) {
                ofZone.sort(Comparator.comparingInt(EngineLoad::outstanding));
            }
            int size = GroupPlacement.DEFAULT.size(prompt.cost(), Engine.SPEED);
            List<BackendServerId> servers = ofZone.subList(0, size).stream()
                    .map(EngineLoad::server)
                    .sorted()
                    .toList();
            long each = GroupPlacement.DEFAULT.kvTokensEach(prompt.cost(), Engine.SPEED);
            for (BackendServerId server : servers) {
                view.recordSent(
                        server,
                        prompt.id(),
                        prompt.cost().promptTokens(),
                        prompt.cost().promptTokens() / size,
                        each,
                        nowNanos);
            }
            return List.of(new DispatchAction.SendGroup(prompt, servers, each, 0));
        }

        @Override
        List<DispatchAction> again(Prompt prompt, long nowNanos) {
            return offer(prompt, nowNanos);
        }

        @Override
        List<DispatchAction> poll(long nowNanos) {
            return List.of();
        }
    }
}
