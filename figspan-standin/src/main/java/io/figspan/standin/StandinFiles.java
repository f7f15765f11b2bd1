package io.figspan.standin;

import io.figspan.core.util.FreePorts;
import io.figspan.standin.engine.EngineServer;
import io.figspan.standin.service.PlainService;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Writes a configuration file for each host, and {@code addresses.env} for the script that starts the processes. */
public final class StandinFiles {
    /** Key of tickets and resume tokens in the settings of the stand-ins. It protects nothing else. */
    public static final String TOKEN_KEY = "stand-in-token-key-0123456789abcdef";

    private static final int PORTS_PER_HOST = 3;

    private static final String PEER_KEY = "stand-in-peer-key-0123456789abcdefg";

    /** Ports assigned to one host. */
    public record HostPorts(String id, String availabilityZone, int callerPort, int operatorPort, int peerPort) {}

    private final Path directory;
    private final String address;

    public StandinFiles(Path directory, String address) {
        this.directory = directory;
        this.address = address;
    }

    /**
     * Picks free ports for the hosts. The ports are not reserved: if another process binds one of them first, the host
     * fails to start.
     */
    public static List<HostPorts> pickPorts(String address, int hosts) throws IOException {
        List<Integer> ports = FreePorts.pick(address, hosts * PORTS_PER_HOST);
        List<HostPorts> picked = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            int firstPort = i * PORTS_PER_HOST;
            String zone = StandinFleet.ZONES.get(i % StandinFleet.ZONES.size());
            picked.add(new HostPorts(
                    "host-" + (i + 1), zone, ports.get(firstPort), ports.get(firstPort + 1), ports.get(firstPort + 2)));
        }
        return picked;
    }

    /**
     * Writes the configuration files, then {@code addresses.env}. The latter is moved into place when it is complete,
     * so that a script that waits for the file never reads a part of it.
     */
    public void write(StandinFleet fleet, List<HostPorts> hosts, int keepSeconds) throws IOException {
        Files.createDirectories(directory);
        for (HostPorts host : hosts) {
            Files.writeString(
                    directory.resolve(host.id() + ".toml"),
                    hostConfigText(host, hosts, fleet.platform().port(), keepSeconds));
        }
        Path addresses = directory.resolve("addresses.env");
        Path incompleteFile = directory.resolve("addresses.env.partial");
        Files.writeString(incompleteFile, addressesText(fleet, hosts));
        Files.move(incompleteFile, addresses);
    }

    private String hostConfigText(HostPorts host, List<HostPorts> allHosts, int platformPort, int keepSeconds) {
        String seeds = allHosts.stream()
                .filter(other -> !other.equals(host))
                .map(other -> "\"" + address + ":" + other.peerPort() + "\"")
                .collect(Collectors.joining(", "));
        return "hostId = \"" + host.id() + "\"\n"
                + "region = \"region-1\"\n"
                + "availabilityZone = \"" + host.availabilityZone() + "\"\n"
                + "bindAddress = \"" + address + "\"\n"
                + "callerPort = " + host.callerPort() + "\n"
                + "operatorPort = " + host.operatorPort() + "\n"
                + "peerPort = " + host.peerPort() + "\n"
                + "seedPeers = [" + seeds + "]\n"
                + "peerKey = \"" + PEER_KEY + "\"\n"
                + "tokenKey = \"" + TOKEN_KEY + "\"\n"
                + "configurationService = \"" + address + ":" + platformPort + "\"\n"
                + "hostList = \"" + address + ":" + platformPort + "\"\n"
                + "keepSeconds = " + keepSeconds + "\n"
                + "shutdownMarginSeconds = 1\n";
    }

    private String addressesText(StandinFleet fleet, List<HostPorts> hosts) {
        return "CALLER_ADDRESSES="
                + joinAddresses(hosts.stream().map(HostPorts::callerPort).toList())
                + "\nOPERATOR_ADDRESSES="
                + joinAddresses(hosts.stream().map(HostPorts::operatorPort).toList())
                + "\nENGINE_ADDRESSES="
                + joinAddresses(fleet.engines().stream().map(EngineServer::port).toList())
                + "\nSERVICE_ADDRESSES="
                + joinAddresses(
                        fleet.services().stream().map(PlainService::port).toList())
                + "\nPLATFORM_ADDRESS=" + address + ":" + fleet.platform().port() + "\n";
    }

    private String joinAddresses(List<Integer> ports) {
        return ports.stream().map(port -> address + ":" + port).collect(Collectors.joining(","));
    }
}
