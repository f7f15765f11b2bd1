package io.figspan.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.figspan.core.error.FigspanException;
import org.junit.jupiter.api.Test;

/**
 * Guards against partly accepting a malformed list, and against rejecting a list to which the platform added a member.
 */
class FleetListTest {
    @Test
    void anEntryWithAnUnknownMemberIsRead() {
        FleetList list = FleetList.fromJson(document("plainService"));
        FleetList.BackendServer server = list.backendServers().get(0);
        assertEquals("e1@4", server.incarnation().toString());
        assertEquals(FleetList.BackendKind.PLAIN_SERVICE, server.kind());
        assertEquals(FleetList.LiveState.LEAVING, server.state());
        assertEquals("[kits]", server.services().toString());
    }

    @Test
    void oneMalformedEntryRefusesTheWholeList() {
        FigspanException refusal = assertThrows(FigspanException.class, () -> FleetList.fromJson(document("engine")));
        assertEquals("kind 'engine' is neither modelEngine nor plainService", refusal.detail());
    }

    private static String document(String kind) {
        return "{\"hosts\":[],\"backendServers\":[{\"id\":\"e1\",\"kind\":\"" + kind
                + "\",\"services\":[\"kits\"],\"address\":\"127.0.0.1\",\"port\":9000,"
                + "\"availabilityZone\":\"az-1\",\"incarnation\":4,\"state\":\"leaving\",\"rack\":\"r7\"}]}";
    }
}
