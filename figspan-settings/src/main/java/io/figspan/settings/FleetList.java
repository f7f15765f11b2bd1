package io.figspan.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.ServiceId;
import java.util.ArrayList;
import java.util.List;

/**
 * The platform's list of entry hosts and backend servers, which may be stale. Its JSON form is
 * {@code {"hosts":[{"id","address","port","availabilityZone","incarnation","state"}],
 * "backendServers":[{"id","kind","services","address","port","availabilityZone","incarnation","state"}]}} with the
 * kinds {@code modelEngine} and {@code plainService} and the states {@code live} and {@code leaving}. Unknown members
 * are ignored, because the platform owns the format and may add members.
 */
public record FleetList(List<EntryHost> hosts, List<BackendServer> backendServers) {
    public static final FleetList EMPTY = new FleetList(List.of(), List.of());

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Kind of a backend server. */
    public enum BackendKind {
        MODEL_ENGINE("modelEngine"),
        PLAIN_SERVICE("plainService");

        private final String wireName;

        BackendKind(String wireName) {
            this.wireName = wireName;
        }

        public String wireName() {
            return wireName;
        }
    }

    /** Whether a process accepts new requests ({@code LIVE}) or is shutting down ({@code LEAVING}). */
    public enum LiveState {
        LIVE("live"),
        LEAVING("leaving");

        private final String wireName;

        LiveState(String wireName) {
            this.wireName = wireName;
        }

        public String wireName() {
            return wireName;
        }
    }

    /** An entry host; {@code port} is the port of its HTTP interface for callers. */
    public record EntryHost(
            HostId id,
            String address,
            int port,
            AvailabilityZoneId availabilityZone,
            long incarnationNumber,
            LiveState state) {
        public HostIncarnation incarnation() {
            return new HostIncarnation(id, incarnationNumber);
        }
    }

    /** A backend server; {@code services} names the services of a plain service and is empty for an engine. */
    public record BackendServer(
            BackendServerId id,
            BackendKind kind,
            List<ServiceId> services,
            String address,
            int port,
            AvailabilityZoneId availabilityZone,
            long incarnationNumber,
            LiveState state) {
        public BackendServer {
            services = List.copyOf(services);
        }

        public BackendIncarnation incarnation() {
            return new BackendIncarnation(id, incarnationNumber);
        }
    }

    public FleetList {
        hosts = List.copyOf(hosts);
        backendServers = List.copyOf(backendServers);
    }

    /**
     * Parses the JSON form. Throws a {@link FigspanException} if any entry is malformed; no partial list is returned.
     */
    public static FleetList fromJson(String json) {
        JsonNode document = parse(json);
        List<EntryHost> hosts = new ArrayList<>();
        for (JsonNode node : requireArray(document, "hosts")) {
            hosts.add(readHost(node));
        }
        List<BackendServer> servers = new ArrayList<>();
        for (JsonNode node : requireArray(document, "backendServers")) {
            servers.add(readBackendServer(node));
        }
        return new FleetList(hosts, servers);
    }

    private static EntryHost readHost(JsonNode node) {
        return new EntryHost(
                HostId.of(text(node, "id")),
                text(node, "address"),
                port(node),
                AvailabilityZoneId.of(text(node, "availabilityZone")),
                incarnationNumber(node),
                state(node));
    }

    private static BackendServer readBackendServer(JsonNode node) {
        List<ServiceId> services = new ArrayList<>();
        node.path("services").forEach(service -> services.add(ServiceId.of(service.asText())));
        return new BackendServer(
                BackendServerId.of(text(node, "id")),
                kind(node),
                services,
                text(node, "address"),
                port(node),
                AvailabilityZoneId.of(text(node, "availabilityZone")),
                incarnationNumber(node),
                state(node));
    }

    private static BackendKind kind(JsonNode node) {
        String text = text(node, "kind");
        for (BackendKind kind : BackendKind.values()) {
            if (kind.wireName().equals(text)) {
                return kind;
            }
        }
        throw invalid("kind '" + text + "' is neither modelEngine nor plainService", null);
    }

    private static LiveState state(JsonNode node) {
        String text = text(node, "state");
        for (LiveState state : LiveState.values()) {
            if (state.wireName().equals(text)) {
                return state;
            }
        }
        throw invalid("state '" + text + "' is neither live nor leaving", null);
    }

    private static String text(JsonNode node, String member) {
        JsonNode value = node.path(member);
        if (!value.isTextual()) {
            throw invalid("member '" + member + "' of an entry is not a string", null);
        }
        return value.textValue();
    }

    private static int port(JsonNode node) {
        JsonNode value = node.path("port");
        if (!value.isInt() || value.intValue() < 1 || value.intValue() > 65_535) {
            throw invalid("member 'port' of an entry is not a port number", null);
        }
        return value.intValue();
    }

    private static long incarnationNumber(JsonNode node) {
        JsonNode value = node.path("incarnation");
        if (!value.isIntegralNumber() || value.longValue() < 0) {
            throw invalid("member 'incarnation' of an entry is not a whole number of at least 0", null);
        }
        return value.longValue();
    }

    private static JsonNode requireArray(JsonNode document, String member) {
        JsonNode array = document.path(member);
        if (!array.isArray()) {
            throw invalid("member '" + member + "' is not an array", null);
        }
        return array;
    }

    private static JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw invalid("the list is not JSON", e);
        }
    }

    private static FigspanException invalid(String detail, Throwable cause) {
        return new FigspanException(ProblemKind.INVALID_VALUE, detail, Location.of("host list"), cause);
    }
}
