package io.figspan.policy.route;

import io.figspan.settings.gateway.Route;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Matches requests to routes by host name and longest path prefix. Host names are compared without regard to case. */
public final class RouteTable {
    private final Map<String, Map<String, Route>> byHostName = new HashMap<>();

    public RouteTable(List<Route> routes) {
        for (Route route : routes) {
            byHostName
                    .computeIfAbsent(route.hostName().toLowerCase(Locale.ROOT), ignored -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /**
     * Returns the route of a request; empty if none matches.
     *
     * @param hostName the Host header; a port in it is ignored
     * @param path the path without the query
     */
    public Optional<Route> find(String hostName, String path) {
        Map<String, Route> byPrefix = byHostName.get(withoutPort(hostName).toLowerCase(Locale.ROOT));
        if (byPrefix == null) {
            return Optional.empty();
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutPort(String hostName) {
        int colon = hostName.lastIndexOf(':');
        boolean hasPort = colon > hostName.lastIndexOf(']');
        return hasPort ? hostName.substring(0, colon) : hostName;
    }
}
