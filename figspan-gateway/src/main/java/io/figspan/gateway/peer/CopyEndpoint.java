package io.figspan.gateway.peer;

import io.figspan.core.error.FigspanException;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.http.DeflateCoding;
import io.figspan.gateway.http.SimpleHttpServer.Reply;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.store.ItemCopy;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Serves this host's copies of the store's items to other hosts. A host that sends enough already answers 503, and the
 * reader turns to another one. All methods run on the event loop.
 */
public final class CopyEndpoint {
    /** Path of the copies; the name of the copy follows. */
    static final String PATH = "/copies/";

    /** Query parameter with the revision of the reader's copy. */
    static final String AFTER = "after";

    private final Map<String, ServedCopy> copies = new HashMap<>();
    private final GatewayMetrics metrics;

    /**
     * Creates the endpoint.
     *
     * @param copies the copies by name
     */
    public CopyEndpoint(Map<String, ItemCopy> copies, GatewayMetrics metrics) {
        copies.forEach((name, copy) -> this.copies.put(name, new ServedCopy(copy)));
        this.metrics = metrics;
    }

    /** Answers with the changes after the reader's revision. */
    public Reply reply(HttpRequest request) {
        QueryStringDecoder target = new QueryStringDecoder(request.uri());
        if (!target.path().startsWith(PATH)) {
            return emptyReply(HttpResponseStatus.NOT_FOUND);
        }
        ServedCopy copy = copies.get(target.path().substring(PATH.length()));
        if (copy == null) {
            return emptyReply(HttpResponseStatus.NOT_FOUND);
        }
        try {
            boolean isCompressed =
                    request.headers().containsValue(HttpHeaderNames.ACCEPT_ENCODING, DeflateCoding.NAME, true);
            return copyReply(copy, afterRevision(target), isCompressed);
        } catch (FigspanException e) {
            return emptyReply(HttpResponseStatus.BAD_REQUEST);
        }
    }

    private static StoreRevision afterRevision(QueryStringDecoder target) {
        List<String> values = target.parameters().getOrDefault(AFTER, List.of());
        return values.isEmpty() ? StoreRevision.NONE : StoreRevision.parse(values.get(0));
    }

    private Reply copyReply(ServedCopy copy, StoreRevision afterRevision, boolean isCompressed) {
        Optional<ServedCopy.Transfer> begun = copy.begin(afterRevision, isCompressed, System.nanoTime());
        if (begun.isEmpty()) {
            metrics.count("copies.refused");
            return emptyReply(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        ServedCopy.Transfer transfer = begun.get();
        byte[] body = transfer.changes().body();
        metrics.count("copies.served");
        metrics.count("copies.bytes", body.length);
        FullHttpResponse response = response(HttpResponseStatus.OK, body);
        if (transfer.changes().isCompressed()) {
            response.headers().set(HttpHeaderNames.CONTENT_ENCODING, DeflateCoding.NAME);
        }
        return new Reply(response, () -> copy.end(transfer));
    }

    private static Reply emptyReply(HttpResponseStatus status) {
        return new Reply(response(status, new byte[0]), () -> {});
    }

    private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    }
}
