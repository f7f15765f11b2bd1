package io.figspan.gateway.forward;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.figspan.core.error.Problem;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;

/** Builds HTTP responses with problem documents (RFC 9457). */
public final class ProblemResponses {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ProblemResponses() {}

    /** Builds the response for a problem. Retry-After is set, in seconds with milliseconds, if waiting helps. */
    public static FullHttpResponse of(Problem problem) {
        ByteBuf body = Unpooled.wrappedBuffer(toJson(problem));
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(problem.kind().httpStatus()), body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (problem.retryAfterMs() > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", problem.retryAfterMs() / 1_000.0));
        }
        return response;
    }

    private static byte[] toJson(Problem problem) {
        try {
            return MAPPER.writeValueAsBytes(problem.toMembers());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize a problem document of strings and numbers", e);
        }
    }
}
