package io.figspan.gateway;

import io.figspan.cluster.coldserver.ColdBound;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Configuration of one gateway process.
 *
 * @param callers address of the port for callers
 * @param readiness address of the readiness check
 * @param directory address of the directory, which tells callers where to connect
 * @param peers address of the UDP port for other hosts
 * @param copies address from which other hosts read this host's copies of the store's items
 * @param metrics address of the metrics
 * @param seeds addresses at which other hosts may be found
 * @param store address of the store of settings and registered backend servers
 * @param shutdownGraceMs time from the request to stop until the process is killed
 * @param retryFraction retry budget of all hosts per request
 * @param retryAllowance retries of all hosts per window in addition to the fraction
 * @param retryWindowMs length of the window
 * @param coldBound bound of the requests to a cold backend server in any second
 * @param isFairBetweenOrganisations whether organisations share scarce model engines fairly
 * @param requiresKeys whether callers need API keys even if the settings name none
 */
public record GatewayConfig(
        HostId host,
        AvailabilityZoneId zone,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress directory,
        InetSocketAddress peers,
        InetSocketAddress copies,
        InetSocketAddress metrics,
        List<InetSocketAddress> seeds,
        InetSocketAddress store,
        long shutdownGraceMs,
        double retryFraction,
        double retryAllowance,
        long retryWindowMs,
        ColdBound coldBound,
        boolean isFairBetweenOrganisations,
        boolean requiresKeys) {
    public GatewayConfig {
        seeds = List.copyOf(seeds);
    }

    /** Returns this configuration with those fields of another one that take effect without a restart. */
    GatewayConfig withReloadable(GatewayConfig other) {
        return new GatewayConfig(
                host,
                zone,
                callers,
                readiness,
                directory,
                peers,
                copies,
                metrics,
                seeds,
                other.store,
                other.shutdownGraceMs,
                other.retryFraction,
                other.retryAllowance,
                other.retryWindowMs,
                other.coldBound,
                other.isFairBetweenOrganisations,
                other.requiresKeys);
    }
}
