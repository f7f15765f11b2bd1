package io.figspan.gateway.forward;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.util.RendezvousHash;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.PrefillReader;
import io.figspan.policy.cell.CellPlan;
import io.figspan.policy.placing.Placer.AvailableServer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** The subset of the servers of a service that this host uses, and the hosts to which it reports its work there. */
sealed interface ServerSubset {
    /** Selects the servers to use among those that accept new requests. */
    List<AvailableServer> select(List<AvailableServer> servers, Set<HostId> hosts);

    /** The hosts to which this host must report this work. */
    Set<HostId> reportRecipients(List<PlacedRequest> work);

    /** The live hosts that use a server while it limits its requests. */
    Set<HostId> hostsUsing(BackendServerId server, Set<HostId> hosts);

    /** Those of the hosts, live or not, that may send requests to a server among {@code servers} of the service. */
    Set<HostId> possibleUsers(BackendServerId server, List<AvailableServer> servers, Set<HostId> allHosts);

    /** All servers, and no reports: random choice balances short requests of similar length well enough. */
    record All() implements ServerSubset {
        /** Bounds the messages about each request; servers with a limit have few. */
        private static final int MAX_HOSTS_OF_A_LIMITED_SERVER = 16;

        @Override
        public List<AvailableServer> select(List<AvailableServer> servers, Set<HostId> hosts) {
            return servers;
        }

        @Override
        public Set<HostId> reportRecipients(List<PlacedRequest> work) {
            return Set.of();
        }

        @Override
        public Set<HostId> hostsUsing(BackendServerId server, Set<HostId> hosts) {
            if (hosts.size() <= MAX_HOSTS_OF_A_LIMITED_SERVER) {
                return hosts;
            }
            return RendezvousHash.order(server.value(), hosts).stream()
                    .limit(MAX_HOSTS_OF_A_LIMITED_SERVER)
                    .collect(Collectors.toUnmodifiableSet());
        }

        @Override
        public Set<HostId> possibleUsers(BackendServerId server, List<AvailableServer> servers, Set<HostId> allHosts) {
            return allHosts;
        }
    }

    /** The engines of the cell to which this host belongs. */
    final class OwnCell implements ServerSubset {
        private final HostId self;
        private CellPlan plan;
        private CellPlan planOfAllHosts;
        private List<AvailableServer> plannedServers = List.of();
        private Set<HostId> plannedHosts = Set.of();

        OwnCell(HostId self, Set<HostId> hosts) {
            this.self = self;
            this.plan = CellPlan.divide(hosts, List.of());
            this.planOfAllHosts = plan;
        }

        @Override
        public List<AvailableServer> select(List<AvailableServer> servers, Set<HostId> hosts) {
            plan = CellPlan.divide(
                    hosts, servers.stream().map(AvailableServer::id).toList());
            return servers.stream()
                    .filter(server -> plan.mayUse(self, server.id()))
                    .toList();
        }

        @Override
        public Set<HostId> hostsUsing(BackendServerId server, Set<HostId> hosts) {
            return plan.hostsUsing(server);
        }

        @Override
        public Set<HostId> possibleUsers(BackendServerId server, List<AvailableServer> servers, Set<HostId> allHosts) {
            if (!servers.equals(plannedServers) || !allHosts.equals(plannedHosts)) {
                plannedServers = servers;
                plannedHosts = allHosts;
                planOfAllHosts = CellPlan.divide(
                        allHosts, servers.stream().map(AvailableServer::id).toList());
            }
            return planOfAllHosts.hostsUsing(server);
        }

        @Override
        public Set<HostId> reportRecipients(List<PlacedRequest> work) {
            Set<HostId> recipients = plan.hostsInCellOf(self);
            for (PlacedRequest item : work) {
                recipients = addHostsAt(item.server(), recipients);
                for (PrefillReader reader : item.readers()) {
                    recipients = addHostsAt(reader.server(), recipients);
                }
            }
            return recipients;
        }

        private Set<HostId> addHostsAt(BackendServerId server, Set<HostId> recipients) {
            if (plan.mayUse(self, server)) {
                return recipients;
            }
            Set<HostId> extended = new HashSet<>(recipients);
            extended.addAll(plan.hostsUsing(server));
            return extended;
        }
    }
}
