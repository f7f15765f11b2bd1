package io.figspan.host;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;

/** Reads the body of a response with a bound, since a faulty server may send without end. */
public final class BoundedResponse {
    private final HttpClientResponse response;
    private final int maxBytes;
    private final Buffer body = Buffer.buffer();
    private final Promise<Buffer> done = Promise.promise();

    private BoundedResponse(HttpClientResponse response, int maxBytes) {
        this.response = response;
        this.maxBytes = maxBytes;
    }

    /**
     * Reads the whole body. Must be called before the first byte of the body can arrive, in the callback that receives
     * the response.
     *
     * @return the body; fails, and closes the connection, if it is longer than {@code maxBytes}
     */
    public static Future<Buffer> body(HttpClientResponse response, int maxBytes) {
        BoundedResponse reader = new BoundedResponse(response, maxBytes);
        response.handler(reader::append);
        response.exceptionHandler(reader.done::tryFail);
        response.endHandler(ignored -> reader.done.tryComplete(reader.body));
        return reader.done.future();
    }

    /**
     * Reads the whole body of the response to a request that may still be written. If only the end of the connection
     * marks the end of the body, the body counts as whole only if the request was written: a server that crashes with a
     * part of the request unread resets the connection, and the write may be all that is notified of it.
     *
     * @param written completes when the request is written
     */
    public static Future<Buffer> body(HttpClientResponse response, Future<Void> written, int maxBytes) {
        return body(response, maxBytes)
                .compose(read -> isSelfDelimiting(response) ? Future.succeededFuture(read) : written.map(read));
    }

    private static boolean isSelfDelimiting(HttpClientResponse response) {
        return response.headers().contains(HttpHeaders.CONTENT_LENGTH)
                || response.headers().contains(HttpHeaders.TRANSFER_ENCODING);
    }

    private void append(Buffer chunk) {
        if (done.future().isComplete()) {
            return;
        }
        if (chunk.length() <= maxBytes - body.length()) {
            body.appendBuffer(chunk);
            return;
        }
        done.tryFail(new FigspanException(
                ProblemKind.BACKEND_FAILED,
                "the response is longer than " + maxBytes + " bytes",
                Location.of("response of a server")));
        response.request().reset();
    }
}
