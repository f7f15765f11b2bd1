package io.figspan.host.entry;

import io.figspan.core.id.OrganisationId;
import io.figspan.host.HostContext;
import io.figspan.policy.limit.OrganisationLimit;
import io.figspan.policy.limit.OrganisationLimits;
import io.figspan.settings.SettingKey;

/**
 * What each organisation is entitled to of the engines' capacity, in proportion to its weight. Unlike the limits of
 * {@link LimitGate} it binds only while the engines are busy, so unused capacity is lent.
 */
final class ShareLimits {
    /** Seconds of its rate that an organisation may use at once. */
    private static final double BURST_SECONDS = 20;

    private final HostContext context;
    private final OrganisationLimits limits;
    private double fleetTokensPerSecond;
    private double weightSum = 1;

    ShareLimits(HostContext context) {
        this.context = context;
        this.limits = new OrganisationLimits(context.config().hostId(), context.nowNanos());
    }

    OrganisationLimits limits() {
        return limits;
    }

    /** Takes over the settings in force and the number of engines that this host uses. */
    void reconfigure(int engineCount) {
        fleetTokensPerSecond =
                (double) context.backends().loads().speed().prefillTokensPerSecond() * Math.max(1, engineCount);
        weightSum = Math.max(
                Double.MIN_NORMAL,
                context.tree().organisations().stream()
                        .mapToDouble(this::weightOf)
                        .sum());
        limits.organisations().forEach(this::configure);
    }

    void ensureConfigured(OrganisationId organisation) {
        if (!limits.isConfigured(organisation)) {
            configure(organisation);
        }
    }

    private void configure(OrganisationId organisation) {
        double share = context.tree().resolve(organisation).number(SettingKey.SHARE);
        double rate = fleetTokensPerSecond * weightOf(organisation) / weightSum;
        OrganisationLimit limit = new OrganisationLimit(rate, BURST_SECONDS, share);
        limits.configure(organisation, limit, context.seats(), context.nowNanos());
    }

    /** Weight of the organisation in the settings in force. */
    double weightOf(OrganisationId organisation) {
        return context.tree().resolve(organisation).number(SettingKey.WEIGHT);
    }
}
