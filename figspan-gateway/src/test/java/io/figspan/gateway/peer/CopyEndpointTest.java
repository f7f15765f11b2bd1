package io.figspan.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.http.DeflateCoding;
import io.figspan.gateway.http.SimpleHttpServer.Reply;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.store.ItemChanges;
import io.figspan.gateway.store.ItemCopy;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CopyEndpointTest {
    private static final int LARGE_BYTES = 500_000;

    private final ItemCopy settings = new ItemCopy();
    private final ItemCopy servers = new ItemCopy();
    private final CopyEndpoint endpoint =
            new CopyEndpoint(Map.of("settings", settings, "servers", servers), new GatewayMetrics());

    @BeforeEach
    void putLargeItem() {
        settings.apply(List.of(item("a", 5), item("b", 6)));
    }

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private static Item item(String key, long revision) {
        byte[] value = new byte[LARGE_BYTES];
        new SplittableRandom(revision).nextBytes(value);
        return new Item(key, Optional.of(value), at(revision));
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
        Reply newer = get("/copies/settings?after=1.5");

        assertEquals(2, changes(all).items().size());
        assertEquals(
                List.of("b"), changes(newer).items().stream().map(Item::key).toList());
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
        get("/copies/settings?after=1.6").writtenListener().run();
        settings.apply(List.of(item("c", 7)));

        assertEquals(at(7), changes(get("/copies/settings?after=1.6")).revision());
    }

    /** Guards against copies of large settings that fill the links between hosts. */
    @Test
    void aCopyOfManySimilarRoutesIsCompressedForReadersThatAcceptIt() throws Exception {
        ItemCopy similar = new ItemCopy();
        byte[] routes = "{\"kind\":\"safe\",\"timeout_ms\":2000}".repeat(10_000).getBytes(StandardCharsets.UTF_8);
        similar.apply(List.of(new Item("settings", Optional.of(routes), at(5))));
        CopyEndpoint compressing = new CopyEndpoint(Map.of("settings", similar), new GatewayMetrics());
        HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/copies/settings");
        request.headers().set(HttpHeaderNames.ACCEPT_ENCODING, DeflateCoding.NAME);

        Reply reply = compressing.reply(request);
        byte[] body = ByteBufUtil.getBytes(reply.response().content());

        assertEquals(DeflateCoding.NAME, reply.response().headers().get(HttpHeaderNames.CONTENT_ENCODING));
        assertTrue(body.length < routes.length / 10, body.length + " bytes");
        ItemChanges decoded = ItemChanges.decode(DeflateCoding.decompress(body, 2 * routes.length));
        assertArrayEquals(routes, decoded.items().get(0).value().orElseThrow());
    }

    /** Hosts of earlier builds don't accept a compressed response. */
    @Test
    void aReaderThatAcceptsNoCodingGetsAnUncompressedCopy() {
        Reply reply = get("/copies/settings");

        assertFalse(reply.response().headers().contains(HttpHeaderNames.CONTENT_ENCODING));
        assertEquals(2, changes(reply).items().size());
    }

    @Test
    void unknownCopiesAndMalformedRevisionsAreRefused() {
        assertEquals(404, status(get("/copies/other")));
        assertEquals(404, status(get("/")));
        assertEquals(400, status(get("/copies/settings?after=x")));
    }

    /** Guards against a server that leaves and stays in use because its host waits for others to read settings. */
    @Test
    void aSmallChangeOfServersIsServedWhileLargeSettingsAreSent() {
        servers.apply(List.of(new Item("server", Optional.of(new byte[] {1}), at(7))));
        assertEquals(200, status(get("/copies/settings")));

        assertEquals(200, status(get("/copies/servers?after=1.6")));
    }

    /** Guards against encoding a large copy again for each reader that is turned away. */
    @Test
    void aReaderThatIsTurnedAwayDoesNotDisplaceTheKeptCopy() {
        Reply first = get("/copies/settings");
        assertEquals(503, status(get("/copies/settings?after=1.5")));
        first.writtenListener().run();

        byte[] again = get("/copies/settings").response().content().array();

        assertTrue(first.response().content().array() == again, "the copy was encoded again");
    }

    /** Guards against serving a kept copy without a change between two pages of the store's listing. */
    @Test
    void aCopyThatHasChangedAtTheSameRevisionIsEncodedAgain() {
        servers.applySnapshot(List.of(smallItem("a", 5), smallItem("z", 12)), at(10));
        get("/copies/servers").writtenListener().run();
        servers.apply(List.of(smallItem("a", 11)));

        ItemChanges served = changes(get("/copies/servers"));

        assertEquals(
                List.of(at(11), at(12)),
                served.items().stream().map(Item::revision).toList());
    }

    /** Guards against readers that never reach a revision without changes, because a kept copy claims an older one. */
    @Test
    void aCopyWhoseRevisionAloneHasChangedIsEncodedAgain() {
        get("/copies/settings").writtenListener().run();
        settings.applyChanges(new ItemChanges(at(9), at(6), List.of()));

        assertEquals(at(9), changes(get("/copies/settings")).revision());
    }

    private static Item smallItem(String key, long revision) {
        return new Item(key, Optional.of(new byte[] {1}), at(revision));
    }
}
