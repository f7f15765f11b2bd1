package io.figspan.gateway;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.PromptPartId;
import io.figspan.gateway.protocol.AttemptParameters;
import io.figspan.gateway.protocol.BackendProtocol;
import io.figspan.gateway.protocol.BackendResponse;
import io.figspan.gateway.protocol.CallerProtocol;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.gateway.protocol.HeaderBlock;
import io.figspan.policy.affinity.PromptPrefix;
import io.figspan.policy.placing.PromptLengths;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Simple encoding of the messages of callers and backend servers for tests. */
public final class TestProtocol implements CallerProtocol, BackendProtocol {
    /** Name of a header that makes decoding throw an unexpected exception. */
    public static final String FAULT = "fault";

    /** Name of a header that makes encoding the request for a server throw an unexpected exception. */
    public static final String ENCODING_FAULT = "encoding-fault";

    @Override
    public CallerRequest decode(HttpRequest head) {
        if (head.headers().contains(FAULT)) {
            throw new IllegalStateException("a fault of the program");
        }
        HttpHeaders headers = head.headers();
        HttpHeaders forwarded = headers.copy()
                .remove("key")
                .remove("connection")
                .remove("expect")
                .remove("transfer-encoding")
                .remove("content-length");
        return new CallerRequest(
                head.method(),
                head.uri(),
                headers.get("host", ""),
                HeaderBlock.of(forwarded),
                headers.get("attempt", ""),
                headers.contains("wait-ms") ? OptionalLong.of(headers.getInt("wait-ms")) : OptionalLong.empty(),
                Optional.ofNullable(headers.get("key")),
                Optional.ofNullable(headers.getInt("prompt-tokens"))
                        .map(tokens -> new PromptLengths(tokens, 1_000, OptionalInt.empty())),
                headers.getAll("shared-part").stream().map(PromptPartId::of).toList(),
                PromptPrefix.EMPTY,
                headers.contains("last-event-id")
                        ? OptionalLong.of(headers.getInt("last-event-id"))
                        : OptionalLong.empty());
    }

    @Override
    public HttpResponse responseHead(HttpResponse backendHead) {
        HttpHeaders headers = backendHead.headers().copy().remove("connection").remove("transfer-encoding");
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, backendHead.status(), headers);
    }

    @Override
    public FullHttpRequest encode(CallerRequest request, ByteBuf body, AttemptParameters attempt) {
        if (request.headers().toHeaders().contains(ENCODING_FAULT)) {
            throw new IllegalStateException("a fault of the program");
        }
        HttpHeaders headers = request.headers().toHeaders();
        headers.set("server", attempt.server().value());
        headers.set("wait-ms", Long.toString(attempt.waitMs()));
        attempt.organisation().ifPresent(organisation -> headers.set("organisation", organisation.value()));
        attempt.lastEventId().ifPresent(id -> headers.set("last-event-id", Long.toString(id)));
        headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()));
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.target(), body, headers, EmptyHttpHeaders.INSTANCE);
    }

    @Override
    public BackendResponse decode(HttpResponse head) {
        HttpHeaders headers = head.headers();
        return new BackendResponse(
                headers.get("attempt", ""),
                head.status().code(),
                headers.contains("signature"),
                headers.contains("not-run"),
                head.status().code() == 421,
                Optional.empty(),
                headers.contains("limit")
                        ? OptionalDouble.of(Double.parseDouble(headers.get("limit")))
                        : OptionalDouble.empty(),
                headers.contains("leaving"),
                retryAfterMs(headers.get("retry-after", "")),
                headers.contains("cold-ms") ? OptionalLong.of(headers.getInt("cold-ms")) : OptionalLong.empty(),
                Optional.ofNullable(headers.get("faulty-server")));
    }

    private static OptionalLong retryAfterMs(String seconds) {
        return seconds.matches("\\d+")
                ? OptionalLong.of((long) Math.min(1e9, Double.parseDouble(seconds) * 1_000))
                : OptionalLong.empty();
    }

    @Override
    public FullHttpRequest reserve(BackendServerId server, String hold, long tokens, long leaseMs) {
        return get("/reserve?" + hold + "&" + tokens);
    }

    @Override
    public FullHttpRequest release(BackendServerId server, String hold) {
        return get("/release?" + hold);
    }

    @Override
    public FullHttpRequest report(BackendServerId server) {
        return get("/report");
    }

    private static FullHttpRequest get(String target) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target, Unpooled.EMPTY_BUFFER);
    }

    @Override
    public boolean isDone(int status) {
        return status == 200;
    }

    @Override
    public boolean isNotHeld(int status) {
        return status == 409;
    }
}
