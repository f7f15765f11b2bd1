package io.figspan.host.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.figspan.control.ticket.ServiceAnswer;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.host.backend.BackendTable;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.settings.FleetList;
import io.reactivex.rxjava3.core.Notification;
import io.vertx.rxjava3.core.Vertx;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an order whose service ends within its answer and that is reported as run with a whole answer. */
class BrokenServiceAnswerTest {
    private static final int LIMIT_S = 20;

    /** More than the socket buffers of both sides hold. */
    private static final int LONG_ORDER_BYTES = 32 * 1_024 * 1_024;

    private static final String BODY = "{\"order\":1}";

    private Vertx vertx;
    private ServerSocket service;
    private BackendTable.Server server;

    @BeforeEach
    void start() throws IOException {
        vertx = Vertx.vertx();
        service = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        BackendServerId id = BackendServerId.of("orders-1");
        BackendTable table = new BackendTable(HostId.of("host-1"), new EngineSpeed(40_000, 512, 20_000_000, 400_000));
        table.update(List.of(new FleetList.BackendServer(
                id,
                FleetList.BackendKind.PLAIN_SERVICE,
                List.of(),
                "127.0.0.1",
                service.getLocalPort(),
                AvailabilityZoneId.of("az-1"),
                1,
                FleetList.LiveState.LIVE)));
        server = table.find(id).orElseThrow();
    }

    @AfterEach
    void stop() throws IOException {
        service.close();
        vertx.rxClose().blockingAwait();
    }

    /** Accepts one connection, reads the order, writes these bytes and ends the connection. */
    private void answerOnce(String bytes, boolean reset) {
        Thread thread = new Thread(() -> {
            try (Socket socket = service.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                String line = in.readLine();
                while (!line.isEmpty()) {
                    line = in.readLine();
                }
                for (int read = 0; read < BODY.length(); read++) {
                    in.read();
                }
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                socket.setSoLinger(reset, 0);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private Notification<ServiceAnswer> write(ServiceWriter writer) {
        return writer.connect(server)
                .flatMap(connected -> writer.write(connected, "key", BODY.getBytes(StandardCharsets.ISO_8859_1)))
                .timeout(LIMIT_S, TimeUnit.SECONDS)
                .materialize()
                .blockingGet();
    }

    /** Accepts one connection, reads the head of the order, writes these bytes, and resets it once they are read. */
    private void resetBeforeReading(String bytes, CountDownLatch headReceived) {
        Thread thread = new Thread(() -> {
            try (Socket socket = service.accept()) {
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), 1_024);
                String line = in.readLine();
                while (!line.isEmpty()) {
                    line = in.readLine();
                }
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                headReceived.await();
                socket.setSoLinger(true, 0);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** The service answers early without a length, and only the write of the order meets the reset. */
    @Test
    void anAnswerThatIsResetWhileTheOrderIsWrittenIsNoAnswer() {
        CountDownLatch headReceived = new CountDownLatch(1);
        resetBeforeReading("HTTP/1.1 200 x\r\ncontent-type: text/plain\r\n\r\nhalf of the", headReceived);
        ServiceWriter writer = new ServiceWriter(vertx, new MetricRegistry());
        Notification<ServiceAnswer> end = writer.connect(server)
                .flatMap(connected -> {
                    connected.getDelegate().response().onComplete(head -> headReceived.countDown());
                    return writer.write(connected, "key", new byte[LONG_ORDER_BYTES]);
                })
                .timeout(LIMIT_S, TimeUnit.SECONDS)
                .materialize()
                .blockingGet();
        assertTrue(end.isOnError(), String.valueOf(end));
    }

    /** Without a length, only a close in order marks the end. */
    @Test
    void anAnswerWithoutLengthIsWholeOnlyIfItsServiceClosesInOrder() {
        String answer = "HTTP/1.1 200 x\r\ncontent-type: text/plain\r\n\r\nanswer done";
        ServiceWriter writer = new ServiceWriter(vertx, new MetricRegistry());
        answerOnce(answer, true);
        assertTrue(write(writer).isOnError());
        answerOnce(answer, false);
        byte[] whole = write(writer).getValue().body().toBytes();
        assertEquals("answer done", new String(whole, StandardCharsets.ISO_8859_1));
    }

    @ParameterizedTest
    @CsvSource({
        "'', 'content-length: 11', 'answer done'",
        "'', 'transfer-encoding: chunked', '6|answer|5| done|0||'",
        "'', 'transfer-encoding: chunked', '6|answer|5| done|0|checksum: 1||'",
        "'HTTP/1.1 103 x|link: y||', 'content-length: 11', 'answer done'",
    })
    void anAnswerThatEndsWithinItIsNoAnswer(String interim, String framing, String body) {
        ServiceWriter writer = new ServiceWriter(vertx, new MetricRegistry());
        String whole =
                (interim + "HTTP/1.1 200 x|content-type: text/plain|" + framing + "||" + body).replace("|", "\r\n");
        for (boolean reset : new boolean[] {false, true}) {
            for (int length = 0; length < whole.length(); length++) {
                answerOnce(whole.substring(0, length), reset);
                Notification<ServiceAnswer> end = write(writer);
                assertTrue(end.isOnError(), "after " + length + " bytes: " + end);
            }
        }
        answerOnce(whole, false);
        ServiceAnswer answer = write(writer).getValue();
        assertEquals(200, answer.status());
        assertEquals("answer done", new String(answer.body().toBytes(), StandardCharsets.ISO_8859_1));
    }
}
