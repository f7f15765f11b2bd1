package io.figspan.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Connection;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a response that is cut by a reset and counts as complete, since only the write noticed the reset. */
class IncompleteResponseTest {
    private static final long LIMIT_S = 20;
    private static final int CONNECT_TIMEOUT_MS = 10_000;
    private static final int BODY_BYTES = 8_192;

    /** More than the socket buffers of both sides hold. */
    private static final int LONG_REQUEST_BYTES = 32 * 1_024 * 1_024;

    private static final int SHORT_REQUEST_BYTES = 200 * 1_024;
    private static final int READ_BEFORE_HALF_CLOSE_BYTES = 64 * 1_024;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final CompletableFuture<Void> partReceived = new CompletableFuture<>();
    private final CompletableFuture<Void> serverEnded = new CompletableFuture<>();
    private int expectedBytes;
    private boolean pausesReading;
    private HttpConnection connection;

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** How the body of the response is delimited. */
    private enum Framing {
        CONTENT_LENGTH("content-length: " + BODY_BYTES + "\r\n"),
        CHUNKED("transfer-encoding: chunked\r\n"),
        CLOSE_DELIMITED("");

        private final String header;

        Framing(String header) {
            this.header = header;
        }

        String head() {
            return "HTTP/1.1 200 OK\r\n" + header + "\r\n";
        }

        String body(int length) {
            String text = "x".repeat(length);
            return this == CHUNKED && length > 0 ? Integer.toHexString(length) + "\r\n" + text + "\r\n" : text;
        }

        String wholeBody() {
            return body(BODY_BYTES) + (this == CHUNKED ? "0\r\n\r\n" : "");
        }
    }

    /** How the server ends the connection after a part of the response; the request is not read before that. */
    private enum Ending {
        RESET {
            @Override
            void end(Connection server, int requestBytes) throws IOException {
                server.reset();
            }
        },
        /** The system resets a connection that is closed with unread bytes. */
        CLOSE_WITH_UNREAD_REQUEST {
            @Override
            void end(Connection server, int requestBytes) throws IOException {
                server.close();
            }
        },
        HALF_CLOSE_THEN_RESET {
            @Override
            void end(Connection server, int requestBytes) throws IOException {
                server.shutdownOutput();
                server.readBody(READ_BEFORE_HALF_CLOSE_BYTES);
                server.reset();
            }
        },
        HALF_CLOSE_THEN_READ {
            @Override
            void end(Connection server, int requestBytes) throws IOException {
                server.shutdownOutput();
                server.readBody(requestBytes);
                server.close();
            }
        },
        READ_THEN_CLOSE {
            @Override
            void end(Connection server, int requestBytes) throws IOException {
                server.readBody(requestBytes);
                server.close();
            }
        };

        abstract void end(Connection server, int requestBytes) throws IOException;

        /** Whether the server has read the whole request and closed the connection in order. */
        boolean isOrderly() {
            return this == HALF_CLOSE_THEN_READ || this == READ_THEN_CLOSE;
        }
    }

    /** Records the response, and may stop reading after its head, like a slow caller. */
    private final class Recorder implements ExchangeListener {
        private final CompletableFuture<String> end = new CompletableFuture<>();
        private final StringBuilder body = new StringBuilder();

        @Override
        public void onHead(HttpResponse head) {
            if (pausesReading) {
                connection.setReading(false);
                var unused = serverEnded.thenRun(() -> loop.execute(() -> connection.setReading(true)));
            }
            if (pausesReading || expectedBytes == 0) {
                partReceived.complete(null);
            }
        }

        @Override
        public void onContent(ByteBuf content) {
            body.append(content.toString(StandardCharsets.ISO_8859_1));
            if (body.length() >= expectedBytes) {
                partReceived.complete(null);
            }
        }

        @Override
        public void onComplete() {
            end.complete("complete");
        }

        @Override
        public void onFailure(ConnectionFailure failure) {
            end.complete(failure.toString());
        }
    }

    private Recorder exchange(int requestBytes, ScriptedServer.Script script) throws Exception {
        Recorder recorder = new Recorder();
        try (ScriptedServer server = ScriptedServer.answeringEarly((request, peer) -> {
            try {
                script.answer(request, peer);
            } finally {
                serverEnded.complete(null);
            }
        })) {
            loop.execute(() -> {
                connection = HttpConnection.open(loop, server.address(), CONNECT_TIMEOUT_MS);
                connection.send(request(requestBytes), recorder);
            });
            recorder.end.get(LIMIT_S, TimeUnit.SECONDS);
        }
        return recorder;
    }

    /** Returns when the client has received the part of the response that is sent, or its head if it pauses then. */
    private void awaitPart() throws IOException {
        try {
            partReceived.get(LIMIT_S, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new IOException(e);
        }
    }

    private static DefaultFullHttpRequest request(int length) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[length]));
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, length);
        return request;
    }

    private static Stream<Arguments> cutResponses() {
        List<Arguments> cases = new ArrayList<>();
        for (Framing framing : Framing.values()) {
            for (int sentBytes : new int[] {0, 1, 4_095}) {
                for (Ending ending : Ending.values()) {
                    boolean isWhole = framing == Framing.CLOSE_DELIMITED && ending.isOrderly();
                    if (!isWhole) {
                        cases.add(Arguments.of(framing, sentBytes, ending, LONG_REQUEST_BYTES, false));
                    }
                }
                for (boolean isPaused : new boolean[] {false, true}) {
                    cases.add(Arguments.of(framing, sentBytes, Ending.RESET, LONG_REQUEST_BYTES, isPaused));
                    cases.add(Arguments.of(framing, sentBytes, Ending.RESET, SHORT_REQUEST_BYTES, isPaused));
                    cases.add(Arguments.of(framing, sentBytes, Ending.RESET, 0, isPaused));
                }
            }
        }
        return cases.stream();
    }

    @ParameterizedTest(name = "{0}, {1} bytes, {2}, request of {3} bytes, reading paused: {4}")
    @MethodSource("cutResponses")
    void aResponseThatIsCutIsNeverComplete(
            Framing framing, int sentBytes, Ending ending, int requestBytes, boolean isPaused) throws Exception {
        pausesReading = isPaused;
        expectedBytes = sentBytes;
        Recorder cut = exchange(requestBytes, (request, peer) -> {
            peer.write(framing.head() + framing.body(sentBytes));
            awaitPart();
            ending.end(peer, requestBytes);
        });
        assertNotEquals("complete", cut.end.get());
        assertTrue(cut.body.length() <= sentBytes, "received " + cut.body.length());
    }

    private static Stream<Arguments> wholeResponses() {
        return Arrays.stream(new int[] {0, SHORT_REQUEST_BYTES, LONG_REQUEST_BYTES})
                .boxed()
                .flatMap(bytes -> Stream.of(Ending.HALF_CLOSE_THEN_READ, Ending.READ_THEN_CLOSE)
                        .flatMap(ending ->
                                Arrays.stream(Framing.values()).map(framing -> Arguments.of(framing, ending, bytes))));
    }

    @ParameterizedTest(name = "{0}, {1}, request of {2} bytes")
    @MethodSource("wholeResponses")
    void aResponseIsCompleteIfItsServerReadsTheRestOfTheRequest(Framing framing, Ending ending, int requestBytes)
            throws Exception {
        Recorder whole = exchange(requestBytes, (request, peer) -> {
            peer.write(framing.head() + framing.wholeBody());
            ending.end(peer, requestBytes);
        });
        assertEquals("complete", whole.end.get());
        assertEquals(BODY_BYTES, whole.body.length());
    }

    @ParameterizedTest
    @EnumSource(names = {"CONTENT_LENGTH", "CHUNKED"})
    void aResponseThatMarksItsEndIsCompleteBeforeTheRequestIsRead(Framing framing) throws Exception {
        Recorder early = exchange(LONG_REQUEST_BYTES, (request, peer) -> {
            peer.write(framing.head() + framing.wholeBody());
            peer.awaitClose();
        });
        assertEquals("complete", early.end.get());
        assertEquals(BODY_BYTES, early.body.length());
    }
}
