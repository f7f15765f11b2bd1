package io.figspan.host;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.host.backend.BackendTable;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.settings.FleetList;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that reads one request on each connection, writes the bytes of a test, and closes the connection. */
public final class AnsweringServer implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final String LENGTH = "content-length:";

    private final ServerSocket listener;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile String answer = "";

    public AnsweringServer() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** A table that holds this server alone. */
    public BackendTable table(BackendServerId id, FleetList.BackendKind kind) {
        BackendTable table = new BackendTable(HostId.of("host-1"), new EngineSpeed(40_000, 512, 20_000_000, 400_000));
        AvailabilityZoneId zone = AvailabilityZoneId.of("az-1");
        table.update(List.of(new FleetList.BackendServer(
                id, kind, List.of(), "127.0.0.1", port(), zone, 1, FleetList.LiveState.LIVE)));
        return table;
    }

    /** Number of requests that were read. */
    public int requests() {
        return requests.get();
    }

    /** Answers all requests from now on with these bytes, one for each character. */
    public void answerWith(String bytes) {
        answer = bytes;
    }

    private void serve() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                readRequest(in);
                requests.incrementAndGet();
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The client has closed its connection, or the test has ended; the next connection is served.
                unanswered.incrementAndGet();
            }
        }
    }

    private static void readRequest(BufferedReader in) throws IOException {
        int length = 0;
        String line = in.readLine();
        while (line != null && !line.isEmpty()) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith(LENGTH)) {
                length = Integer.parseInt(lower.substring(LENGTH.length()).strip());
            }
            line = in.readLine();
        }
        for (int read = 0; read < length; read++) {
            in.read();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
