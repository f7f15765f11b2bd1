package io.figspan.gateway;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * What one gateway process is told at its start.
 *
 * @param callers address of the port for callers
 * @param readiness address of the readiness check
 * @param directory address that tells callers where to connect
 * @param peers address of the port for datagrams of other hosts
 * @param copies address where other hosts read this host's copies of the store's items
 * @param metrics address where the metrics are read
 * @param seeds addresses where other hosts may be found
 * @param store address of the store of settings and registered backend servers
 * @param shutdownGraceMs time from the request to stop until the process is killed
 * @param retryFraction retries of all hosts for each request
 * @param retryAllowance retries of all hosts in a window, besides
 * @param retryWindowMs length of the window
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
        long retryWindowMs) {
    public GatewayConfig {
        seeds = List.copyOf(seeds);
    }

    /** This configuration with what takes effect without a restart from another one. */
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
                other.retryWindowMs);
    }
}
