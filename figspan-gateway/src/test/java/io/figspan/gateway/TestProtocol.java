package io.figspan.gateway;

import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.protocol.BackendAnswer;
import io.figspan.gateway.protocol.BackendProtocol;
import io.figspan.gateway.protocol.CallerProtocol;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.gateway.protocol.Send;
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
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Plain names for the messages of callers and backend servers in tests. */
public final class TestProtocol implements CallerProtocol, BackendProtocol {
    /** A request with this header meets an unexpected error. */
    public static final String FAULT = "fault";

    @Override
    public CallerRequest decode(HttpRequest head) {
        if (head.headers().contains(FAULT)) {
            throw new IllegalStateException("a fault of the program");
        }
        HttpHeaders headers = head.headers();
        HttpHeaders passedOn = headers.copy()
                .remove("key")
                .remove("connection")
                .remove("expect")
                .remove("transfer-encoding")
                .remove("content-length");
        return new CallerRequest(
                head.method(),
                head.uri(),
                headers.get("host", ""),
                passedOn,
                headers.get("attempt", ""),
                headers.contains("wait-ms") ? OptionalLong.of(headers.getInt("wait-ms")) : OptionalLong.empty(),
                Optional.ofNullable(headers.get("key")),
                Optional.ofNullable(headers.getInt("prompt-tokens"))
                        .map(tokens -> new PromptLengths(tokens, 1_000, OptionalInt.empty())),
                headers.contains("last-event-id")
                        ? OptionalLong.of(headers.getInt("last-event-id"))
                        : OptionalLong.empty());
    }

    @Override
    public HttpResponse answerHead(HttpResponse backendHead) {
        HttpHeaders headers = backendHead.headers().copy().remove("connection").remove("transfer-encoding");
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, backendHead.status(), headers);
    }

    @Override
    public FullHttpRequest encode(CallerRequest request, ByteBuf body, Send send) {
        HttpHeaders headers = request.headers().copy();
        headers.set("server", send.server().value());
        headers.set("wait-ms", Long.toString(send.waitMs()));
        send.organisation().ifPresent(organisation -> headers.set("organisation", organisation.value()));
        send.lastEventId().ifPresent(id -> headers.set("last-event-id", Long.toString(id)));
        headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()));
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.target(), body, headers, EmptyHttpHeaders.INSTANCE);
    }

    @Override
    public BackendAnswer decode(HttpResponse head) {
        HttpHeaders headers = head.headers();
        return new BackendAnswer(
                headers.get("attempt", ""),
                head.status().code(),
                headers.contains("signature"),
                headers.contains("not-run"),
                head.status().code() == 421,
                Optional.empty(),
                Optional.empty());
    }

    @Override
    public FullHttpRequest reserve(BackendServerId server, String hold, long tokens, long leaseMs) {
        return order("/reserve?" + hold + "&" + tokens);
    }

    @Override
    public FullHttpRequest release(BackendServerId server, String hold) {
        return order("/release?" + hold);
    }

    @Override
    public FullHttpRequest report(BackendServerId server) {
        return order("/report");
    }

    private static FullHttpRequest order(String target) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target, Unpooled.EMPTY_BUFFER);
    }

    @Override
    public boolean isDone(int status) {
        return status == 200;
    }
}
