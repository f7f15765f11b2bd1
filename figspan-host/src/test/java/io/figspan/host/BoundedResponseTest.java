package io.figspan.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a host that keeps all that a faulty server sends without end. */
class BoundedResponseTest {
    private static final int MAX_BYTES = 64 * 1_024;
    private static final int MAX_SENT_BYTES = 64 * 1_024 * 1_024;
    private static final int LIMIT_S = 20;

    private final CountDownLatch closed = new CountDownLatch(1);
    private Vertx vertx;
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        vertx = Vertx.vertx();
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_S, TimeUnit.SECONDS);
    }

    /** Accepts one connection, reads a request without body and answers it. */
    private void answerOnce(String answer, String repeated) {
        Thread thread = new Thread(() -> {
            try (Socket socket = server.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                String line = in.readLine();
                while (!line.isEmpty()) {
                    line = in.readLine();
                }
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                for (int sent = 0; sent < MAX_SENT_BYTES && !repeated.isEmpty(); sent += repeated.length()) {
                    socket.getOutputStream().write(repeated.getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                closed.countDown();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private Buffer get() throws Exception {
        return vertx.createHttpClient()
                .request(HttpMethod.GET, server.getLocalPort(), "127.0.0.1", "/")
                .compose(request -> request.send().compose(response -> BoundedResponse.body(response, MAX_BYTES)))
                .toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_S, TimeUnit.SECONDS);
    }

    @Test
    void aBodyUpToTheLimitIsReadWhole() throws Exception {
        answerOnce("HTTP/1.1 200 x\r\ncontent-length: " + MAX_BYTES + "\r\n\r\n" + "x".repeat(MAX_BYTES), "");

        assertEquals(MAX_BYTES, get().length());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "content-length: 9000000000\r\n"})
    void aBodyWithoutEndFailsAndClosesTheConnection(String framing) throws Exception {
        answerOnce("HTTP/1.1 200 x\r\n" + framing + "\r\n", "x".repeat(16 * 1_024));

        ExecutionException failure = assertThrows(ExecutionException.class, this::get);

        assertTrue(failure.getMessage().contains("longer than " + MAX_BYTES), failure.getMessage());
        assertTrue(closed.await(LIMIT_S, TimeUnit.SECONDS), "the connection stayed open");
    }
}
