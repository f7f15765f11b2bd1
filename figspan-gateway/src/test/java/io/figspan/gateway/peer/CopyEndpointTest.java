package io.figspan.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.gateway.http.SimpleHttpServer.Reply;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.store.ItemChanges;
import io.figspan.gateway.store.ItemCopy;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CopyEndpointTest {
    private static final int LARGE_BYTES = 500_000;

    private final ItemCopy settings = new ItemCopy();
    private final CopyEndpoint endpoint = new CopyEndpoint(Map.of("settings", settings), new GatewayMetrics());

    @BeforeEach
    void putLargeItem() {
        settings.apply(List.of(item("op/a", 5), item("op/b", 6)));
    }

    private static Item item(String key, long revision) {
        byte[] value = new byte[LARGE_BYTES];
        new SplittableRandom(revision).nextBytes(value);
        return new Item(key, Optional.of(value), revision);
    }

    private Reply get(String target) {
        return endpoint.reply(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target));
    }

    private static int status(Reply reply) {
        return reply.response().status().code();
    }

    private static ItemChanges changes(Reply reply) {
        return ItemChanges.decode(ByteBufUtil.getBytes(reply.response().content()));
    }

    @Test
    void changesAfterTheRevisionOfTheReaderAreServed() {
        Reply all = get("/copies/settings");
        all.writtenListener().run();
        Reply newer = get("/copies/settings?after=5");

        assertEquals(2, changes(all).items().size());
        assertEquals(
                List.of("op/b"), changes(newer).items().stream().map(Item::key).toList());
    }

    /** Guards against a host that sends a large copy to all hosts of its cell at once. */
    @Test
    void readersAreTurnedAwayWhileALargeCopyIsSent() {
        Reply first = get("/copies/settings");
        assertEquals(200, status(first));
        assertEquals(503, status(get("/copies/settings")));

        first.writtenListener().run();

        assertEquals(200, status(get("/copies/settings")));
    }

    /** Guards against serving a response that was encoded for an older revision. */
    @Test
    void aCopyThatHasChangedIsEncodedAgain() {
        get("/copies/settings?after=6").writtenListener().run();
        settings.apply(List.of(item("op/c", 7)));

        assertEquals(7, changes(get("/copies/settings?after=6")).revision());
    }

    @Test
    void unknownCopiesAndMalformedRevisionsAreRefused() {
        assertEquals(404, status(get("/copies/other")));
        assertEquals(404, status(get("/")));
        assertEquals(400, status(get("/copies/settings?after=x")));
    }
}
