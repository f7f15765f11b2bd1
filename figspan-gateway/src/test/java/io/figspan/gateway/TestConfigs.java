package io.figspan.gateway;

import io.figspan.cluster.coldserver.ColdBound;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import java.net.InetSocketAddress;
import java.util.List;

/** Configurations of hosts in tests; one address is used for all ports. */
public final class TestConfigs {
    private TestConfigs() {}

    public static GatewayConfig of(
            HostId host, InetSocketAddress address, List<InetSocketAddress> seeds, double retryFraction) {
        return new GatewayConfig(
                host,
                AvailabilityZoneId.of("zone"),
                address,
                address,
                address,
                address,
                address,
                address,
                seeds,
                address,
                1_000,
                retryFraction,
                100,
                10_000,
                ColdBound.DEFAULT,
                true,
                false);
    }
}
