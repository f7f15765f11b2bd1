package io.figspan.gateway.forward;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.PrefillReader;
import io.figspan.policy.cell.CellPlan;
import io.figspan.policy.placing.Placer.ServerSeat;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Which servers of a service this host uses, and which other hosts must know of its work there. */
sealed interface ServerScope {
    /** The servers to use of those that take new work. */
    List<ServerSeat> choose(List<ServerSeat> servers, Set<HostId> hosts);

    /** The hosts that work of this host concerns. */
    Set<HostId> audience(List<PlacedRequest> work);

    /** All servers, and no host needs to know: short calls of like length are spread well enough by chance. */
    record All() implements ServerScope {
        @Override
        public List<ServerSeat> choose(List<ServerSeat> servers, Set<HostId> hosts) {
            return servers;
        }

        @Override
        public Set<HostId> audience(List<PlacedRequest> work) {
            return Set.of();
        }
    }

    /** The engines of this host's cell. */
    final class OwnCell implements ServerScope {
        private final HostId self;
        private CellPlan plan;

        OwnCell(HostId self, Set<HostId> hosts) {
            this.self = self;
            this.plan = CellPlan.divide(hosts, List.of());
        }

        @Override
        public List<ServerSeat> choose(List<ServerSeat> servers, Set<HostId> hosts) {
            plan = CellPlan.divide(hosts, servers.stream().map(ServerSeat::id).toList());
            return servers.stream()
                    .filter(server -> plan.mayUse(self, server.id()))
                    .toList();
        }

        @Override
        public Set<HostId> audience(List<PlacedRequest> work) {
            Set<HostId> audience = plan.hostsWith(self);
            for (PlacedRequest item : work) {
                audience = withHostsAt(item.server(), audience);
                for (PrefillReader reader : item.readers()) {
                    audience = withHostsAt(reader.server(), audience);
                }
            }
            return audience;
        }

        private Set<HostId> withHostsAt(BackendServerId server, Set<HostId> audience) {
            if (plan.mayUse(self, server)) {
                return audience;
            }
            Set<HostId> more = new HashSet<>(audience);
            more.addAll(plan.hostsAt(server));
            return more;
        }
    }
}
