package io.figspan.settings.cfg;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.RegionId;
import io.figspan.settings.Secret;
import java.util.List;
import java.util.Optional;

/**
 * Configuration of one {@code figspand} process. Immutable; the {@code with} methods return modified copies.
 *
 * @param bindAddress IP address that all ports bind to and that other processes connect to
 * @param callerPort port of the callers' HTTP interface; 0 selects an ephemeral port
 * @param operatorPort port of the operator's HTTP interface; 0 selects an ephemeral port
 * @param peerPort TCP port for other hosts; 0 selects an ephemeral port
 * @param seedPeers addresses of the peers contacted first at startup
 * @param peerKey HMAC key of frames between hosts
 * @param tokenKey HMAC key of tickets and resume tokens; if absent, the fleet's setting {@code tokenKey} is used
 * @param configurationService address of the configuration service, if there is one
 * @param hostList address of the platform's host list, if there is one
 * @param keepSeconds how long callers may cache an entry list, in seconds
 * @param shutdownMarginSeconds how long a leaving host continues to serve after {@code keepSeconds}
 * @param shutdownGraceSeconds time from SIGTERM to the kill by the process manager, in seconds
 */
public record HostConfig(
        HostId hostId,
        RegionId region,
        AvailabilityZoneId availabilityZone,
        String bindAddress,
        int callerPort,
        int operatorPort,
        int peerPort,
        List<PeerAddress> seedPeers,
        Secret peerKey,
        Secret tokenKey,
        Optional<PeerAddress> configurationService,
        Optional<PeerAddress> hostList,
        int keepSeconds,
        int shutdownMarginSeconds,
        int shutdownGraceSeconds) {
    public static final int DEFAULT_CALLER_PORT = 7400;
    public static final int DEFAULT_OPERATOR_PORT = 7401;
    public static final int DEFAULT_PEER_PORT = 7402;

    /** One minute limits only the use of a stale list; after a failure callers are sent to the next address anyway. */
    public static final int DEFAULT_KEEP_SECONDS = 60;

    /** Covers the network and scheduling delay of a caller that uses its list just before it expires. */
    public static final int DEFAULT_SHUTDOWN_MARGIN_SECONDS = 5;

    /** The longest deadline of a request, and a margin for the exit. */
    public static final int DEFAULT_SHUTDOWN_GRACE_SECONDS = 3_700;

    public HostConfig {
        seedPeers = List.copyOf(seedPeers);
        requirePort("callerPort", callerPort);
        requirePort("operatorPort", operatorPort);
        requirePort("peerPort", peerPort);
        requireAtLeast("keepSeconds", keepSeconds, 0);
        requireAtLeast("shutdownMarginSeconds", shutdownMarginSeconds, 0);
        requireAtLeast("shutdownGraceSeconds", shutdownGraceSeconds, 1);
    }

    /**
     * A configuration with the default ports on the loopback address, without seed peers, keys or platform addresses.
     */
    public static HostConfig of(HostId hostId, RegionId region, AvailabilityZoneId availabilityZone) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                "127.0.0.1",
                DEFAULT_CALLER_PORT,
                DEFAULT_OPERATOR_PORT,
                DEFAULT_PEER_PORT,
                List.of(),
                Secret.NONE,
                Secret.NONE,
                Optional.empty(),
                Optional.empty(),
                DEFAULT_KEEP_SECONDS,
                DEFAULT_SHUTDOWN_MARGIN_SECONDS,
                DEFAULT_SHUTDOWN_GRACE_SECONDS);
    }

    public HostConfig withBindAddress(String newBindAddress) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                newBindAddress,
                callerPort,
                operatorPort,
                peerPort,
                seedPeers,
                peerKey,
                tokenKey,
                configurationService,
                hostList,
                keepSeconds,
                shutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withCallerPort(int newCallerPort) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                newCallerPort,
                operatorPort,
                peerPort,
                seedPeers,
                peerKey,
                tokenKey,
                configurationService,
                hostList,
                keepSeconds,
                shutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withOperatorPort(int newOperatorPort) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                callerPort,
                newOperatorPort,
                peerPort,
                seedPeers,
                peerKey,
                tokenKey,
                configurationService,
                hostList,
                keepSeconds,
                shutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withPeerPort(int newPeerPort) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                callerPort,
                operatorPort,
                newPeerPort,
                seedPeers,
                peerKey,
                tokenKey,
                configurationService,
                hostList,
                keepSeconds,
                shutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withSeedPeers(List<PeerAddress> newSeedPeers) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                callerPort,
                operatorPort,
                peerPort,
                newSeedPeers,
                peerKey,
                tokenKey,
                configurationService,
                hostList,
                keepSeconds,
                shutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withPeerKey(Secret newPeerKey) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                callerPort,
                operatorPort,
                peerPort,
                seedPeers,
                newPeerKey,
                tokenKey,
                configurationService,
                hostList,
                keepSeconds,
                shutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withTokenKey(Secret newTokenKey) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                callerPort,
                operatorPort,
                peerPort,
                seedPeers,
                peerKey,
                newTokenKey,
                configurationService,
                hostList,
                keepSeconds,
                shutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withConfigurationService(PeerAddress newConfigurationService) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                callerPort,
                operatorPort,
                peerPort,
                seedPeers,
                peerKey,
                tokenKey,
                Optional.of(newConfigurationService),
                hostList,
                keepSeconds,
                shutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withHostList(PeerAddress newHostList) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                callerPort,
                operatorPort,
                peerPort,
                seedPeers,
                peerKey,
                tokenKey,
                configurationService,
                Optional.of(newHostList),
                keepSeconds,
                shutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withKeepSeconds(int newKeepSeconds) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                callerPort,
                operatorPort,
                peerPort,
                seedPeers,
                peerKey,
                tokenKey,
                configurationService,
                hostList,
                newKeepSeconds,
                shutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withShutdownMarginSeconds(int newShutdownMarginSeconds) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                callerPort,
                operatorPort,
                peerPort,
                seedPeers,
                peerKey,
                tokenKey,
                configurationService,
                hostList,
                keepSeconds,
                newShutdownMarginSeconds,
                shutdownGraceSeconds);
    }

    public HostConfig withShutdownGraceSeconds(int newShutdownGraceSeconds) {
        return new HostConfig(
                hostId,
                region,
                availabilityZone,
                bindAddress,
                callerPort,
                operatorPort,
                peerPort,
                seedPeers,
                peerKey,
                tokenKey,
                configurationService,
                hostList,
                keepSeconds,
                shutdownMarginSeconds,
                newShutdownGraceSeconds);
    }

    private static void requirePort(String name, int port) {
        if (port < 0 || port > 65_535) {
            throw invalid(name, "port " + port + " is outside 0 to 65535");
        }
    }

    private static void requireAtLeast(String name, int value, int minimum) {
        if (value < minimum) {
            throw invalid(name, value + " is below " + minimum);
        }
    }

    private static FigspanException invalid(String name, String detail) {
        return new FigspanException(ProblemKind.INVALID_VALUE, name + ": " + detail, Location.of("host file"));
    }
}
