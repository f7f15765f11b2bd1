package io.figspan.host.backend;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Backend servers that this host knows, with the newest load report of each. Used on the event loop only. */
public final class BackendTable {
    /** Most backend servers in the table; further ones are ignored. */
    public static final int MAX_SERVERS = 1_024;

    /** One backend server. */
    public static final class Server {
        private final BackendServerId id;
        private final boolean engine;
        private final List<String> services;
        private final String address;
        private final int port;
        private final AvailabilityZoneId availabilityZone;
        private long incarnationNumber;
        private boolean leaving;
        private boolean suspect;
        private long backlogTokens;
        private long freeTokens;
        private long capacityTokens;
        private long sentTokensSinceReport;
        private long reportedAtNanos;
        private boolean hasReport;

        Server(Listed listed) {
            this.id = listed.id();
            this.engine = listed.engine();
            this.services = List.copyOf(listed.services());
            this.address = listed.address();
            this.port = listed.port();
            this.availabilityZone = listed.availabilityZone();
        }

        public BackendServerId id() {
            return id;
        }

        public BackendIncarnation incarnation() {
            return new BackendIncarnation(id, incarnationNumber);
        }

        public boolean isEngine() {
            return engine;
        }

        public List<String> services() {
            return services;
        }

        public String address() {
            return address;
        }

        public int port() {
            return port;
        }

        public AvailabilityZoneId availabilityZone() {
            return availabilityZone;
        }

        /** Whether new work may go there: it is not leaving and its last use did not fail. */
        public boolean takesNewWork() {
            return !leaving && !suspect;
        }

        public boolean isLeaving() {
            return leaving;
        }

        public boolean isSuspect() {
            return suspect;
        }

        public long backlogTokens() {
            return backlogTokens + sentTokensSinceReport;
        }

        public long freeTokens() {
            return freeTokens;
        }

        public long capacityTokens() {
            return capacityTokens;
        }

        public long reportedAtNanos() {
            return reportedAtNanos;
        }

        public boolean hasReport() {
            return hasReport;
        }
    }

    /** A backend server as the platform lists it. */
    public record Listed(
            BackendServerId id,
            boolean engine,
            List<String> services,
            String address,
            int port,
            AvailabilityZoneId availabilityZone,
            boolean leaving) {}

    private final Map<BackendServerId, Server> servers = new TreeMap<>();

    public Collection<Server> all() {
        return List.copyOf(servers.values());
    }

    public Optional<Server> find(BackendServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Takes over the platform's list. A server that it no longer names stays until it fails. */
    public void update(Collection<Listed> listed) {
        for (Listed server : listed) {
            boolean room = servers.containsKey(server.id()) || servers.size() < MAX_SERVERS;
            if (room) {
                Server known = servers.computeIfAbsent(server.id(), id -> new Server(server));
                known.leaving = known.leaving || server.leaving();
            }
        }
    }

    /** Notes work that was sent to a server, until its next report counts it. */
    public void onSent(Server server, long tokens) {
        server.sentTokensSinceReport += tokens;
    }

    /** Notes a full report. */
    public void onReport(Server server, EngineMessages.Report report, long nowNanos) {
        server.capacityTokens = report.capacityTokens();
        note(
                server,
                report.incarnation(),
                report.backlogTokens(),
                report.freeTokens(),
                "leaving".equals(report.state()),
                nowNanos);
    }

    /** Notes the compact report that rides on a response; a malformed one is ignored. */
    public void onCompactReport(Server server, String header, long nowNanos) {
        Optional<CompactReport> report = CompactReport.parse(header);
        report.ifPresent(parsed -> note(
                server, parsed.incarnation(), parsed.backlogTokens(), parsed.freeTokens(), parsed.leaving(), nowNanos));
    }

    /** Notes that a use of the server failed. It gets new work again after its next report. */
    public void onFailure(Server server) {
        server.suspect = true;
    }

    public void onLeaving(Server server) {
        server.leaving = true;
    }

    private static void note(
            Server server, long incarnation, long backlogTokens, long freeTokens, boolean leaving, long nowNanos) {
        if (incarnation < server.incarnationNumber) {
            return;
        }
        boolean restarted = incarnation > server.incarnationNumber;
        server.incarnationNumber = incarnation;
        server.leaving = leaving || (server.leaving && !restarted);
        server.suspect = false;
        server.backlogTokens = backlogTokens;
        server.freeTokens = freeTokens;
        server.sentTokensSinceReport = 0;
        server.reportedAtNanos = nowNanos;
        server.hasReport = true;
    }
}
