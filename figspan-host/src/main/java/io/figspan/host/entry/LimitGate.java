package io.figspan.host.entry;

import io.figspan.cluster.loan.LimitShares;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.OrganisationId;
import io.figspan.host.HostContext;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.limit.OrganisationLimit;
import io.figspan.policy.limit.OrganisationLimits;
import io.figspan.settings.ResolvedSettings;
import io.figspan.settings.SettingKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The limits of the organisations at this host, configured from the settings in force. Used on the event loop only. */
public final class LimitGate implements LimitShares {
    /** Time over which this host's own use is averaged for the loans. */
    private static final long USE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Rate that is asked for at least, so that an organisation with little left gets a useful loan. */
    private static final long MIN_LOAN_TOKENS_PER_SECOND = 1_000;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long RETRY_AFTER_MS = 1_000;

    /** What the gate asks of the other hosts. */
    public interface Lenders {
        /** Whether this process may use its own share now. */
        boolean mayUseOwnShare();

        void ask(OrganisationId organisation, long tokensPerSecond, List<EntryHost> homes);
    }

    private final HostContext context;
    private final OrganisationLimits limits;
    private final Map<OrganisationId, Use> uses = new HashMap<>();
    private final long openFromNanos;

    /** {@code shareWaitNanos} is the time in which loans of a predecessor at this seat may be in use. */
    public LimitGate(HostContext context, long shareWaitNanos) {
        this.context = context;
        this.openFromNanos = context.nowNanos() + shareWaitNanos;
        this.limits = new OrganisationLimits(context.config().hostId(), openFromNanos);
    }

    /** Whether this process has waited until nothing that a predecessor at its seat lent is in use. */
    public boolean isOpen() {
        return context.nowNanos() - openFromNanos >= 0;
    }

    /** Takes over the settings in force. */
    public void reconfigure() {
        limits.organisations().forEach(this::configure);
    }

    /** Takes tokens of work from an organisation's share, or refuses with the time to come back. */
    Result<Long> take(OrganisationId organisation, long tokens, Lenders lenders) {
        if (!context.tree().hasOrganisation(organisation)) {
            return Result.failed(Problem.notRun(
                    ProblemKind.UNAUTHENTICATED, "organisation '" + organisation + "' is not in the settings"));
        }
        if (!lenders.mayUseOwnShare()) {
            return Result.failed(
                    Problem.notRun(ProblemKind.LIMIT_REACHED, "this host has not heard from other hosts lately")
                            .withRetryAfterMs(RETRY_AFTER_MS));
        }
        ensureConfigured(organisation);
        long nowNanos = context.nowNanos();
        Result<Long> taken = limits.tryTake(organisation, tokens, nowNanos);
        if (taken.isOk()) {
            uses.computeIfAbsent(organisation, key -> new Use()).add(tokens, nowNanos);
        } else {
            context.count("limits.refused");
            lenders.ask(organisation, Math.max(MIN_LOAN_TOKENS_PER_SECOND, tokens), homes(organisation));
        }
        return taken;
    }

    /** Returns tokens of a request that was refused after it had taken them. */
    void refund(OrganisationId organisation, long tokens) {
        limits.refund(organisation, tokens, context.nowNanos());
    }

    /** Sets what loans add to the own share or take from it, from the given time on. */
    public void setAllowance(OrganisationId organisation, long tokensPerSecond, long atNanos) {
        ensureConfigured(organisation);
        long delayMs = TimeUnit.NANOSECONDS.toMillis(atNanos - context.nowNanos());
        if (delayMs <= 0) {
            limits.setAllowance(organisation, (double) tokensPerSecond, context.nowNanos());
            return;
        }
        context.vertx()
                .setTimer(
                        delayMs, id -> limits.setAllowance(organisation, (double) tokensPerSecond, context.nowNanos()));
    }

    @Override
    public double ownTokensPerSecond(OrganisationId organisation, long nowNanos) {
        ensureConfigured(organisation);
        return limits.ownTokensPerSecond(organisation, nowNanos);
    }

    @Override
    public double usedTokensPerSecond(OrganisationId organisation, long nowNanos) {
        Use use = uses.get(organisation);
        return use == null ? 0 : use.tokensPerSecond(nowNanos);
    }

    /** Organisations are configured on first use, because a host meets few of all that the settings name. */
    private void ensureConfigured(OrganisationId organisation) {
        boolean missing = !limits.isConfigured(organisation) && context.tree().hasOrganisation(organisation);
        if (missing) {
            configure(organisation);
        }
    }

    private void configure(OrganisationId organisation) {
        ResolvedSettings settings = context.tree().resolve(organisation);
        double rate = settings.integer(SettingKey.LIMITS_TOKENS_PER_SECOND);
        double burstSeconds = settings.integer(SettingKey.LIMITS_BURST_TOKENS) / rate;
        OrganisationLimit limit = new OrganisationLimit(rate, burstSeconds, settings.number(SettingKey.SHARE));
        limits.configure(organisation, limit, context.seats(), context.nowNanos());
    }

    private List<EntryHost> homes(OrganisationId organisation) {
        double share = context.tree().resolve(organisation).number(SettingKey.SHARE);
        return OrganisationLimits.homeHosts(organisation, share, context.seats());
    }

    /** Tokens used in the current and the previous window. */
    private static final class Use {
        private long windowStartNanos;
        private long currentTokens;
        private long previousTokens;

        void add(long tokens, long nowNanos) {
            roll(nowNanos);
            currentTokens += tokens;
        }

        double tokensPerSecond(long nowNanos) {
            roll(nowNanos);
            long spanNanos = USE_WINDOW_NANOS + nowNanos - windowStartNanos;
            return (previousTokens + currentTokens) * NANOS_PER_SECOND / spanNanos;
        }

        private void roll(long nowNanos) {
            long elapsedNanos = nowNanos - windowStartNanos;
            if (elapsedNanos < USE_WINDOW_NANOS) {
                return;
            }
            previousTokens = elapsedNanos < 2 * USE_WINDOW_NANOS ? currentTokens : 0;
            currentTokens = 0;
            windowStartNanos = nowNanos;
        }
    }
}
