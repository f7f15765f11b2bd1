package io.figspan.gateway;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A backend server whose responses are bytes written by a test. Each connection has a thread. */
public final class ScriptedServer implements AutoCloseable {
    private static final int BACKLOG = 50;

    /** Little enough that a long request is still being written while it is answered. */
    private static final int EARLY_RECEIVE_BUFFER_BYTES = 8 * 1_024;

    private final ServerSocket listener;
    private final Script script;
    private final boolean answersEarly;
    private final List<Received> received = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    /** Handles the requests that the server receives. */
    public interface Script {
        void answer(Received request, Connection connection) throws IOException;
    }

    /**
     * A received request; header names are in lower case.
     *
     * @param lines the header lines as they were received
     */
    public record Received(
            String method,
            String target,
            Map<String, String> headers,
            List<String> lines,
            String body,
            int connection) {
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** The server's end of a connection. */
    public static final class Connection {
        private final Socket socket;
        private final InputStream in;

        private Connection(Socket socket, InputStream in) {
            this.socket = socket;
            this.in = in;
        }

        /** Reads bytes of the request; only if the server answers early. */
        public byte[] readBody(int length) throws IOException {
            return in.readNBytes(length);
        }

        public void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Begins a well-formed response; each of {@code moreHeaders} ends with a line break. */
        public void begin(Received request, int status, String moreHeaders) throws IOException {
            write(head(request, status, moreHeaders));
        }

        /** Sends a complete, well-formed response. */
        public void answer(Received request, int status, String moreHeaders, String body) throws IOException {
            write(response(request, status, moreHeaders, body));
        }

        /** A complete, well-formed response. */
        public static String response(Received request, int status, String moreHeaders, String body) {
            return head(request, status, moreHeaders + "content-length: " + body.length() + "\r\n") + body;
        }

        /** The head of a well-formed response. */
        public static String head(Received request, int status, String moreHeaders) {
            return "HTTP/1.1 " + status + " x\r\nattempt: " + request.header("attempt") + "\r\nsignature: s\r\n"
                    + moreHeaders + "\r\n";
        }

        public void close() throws IOException {
            socket.close();
        }

        /** Sends no more, but may read on. */
        public void shutdownOutput() throws IOException {
            socket.shutdownOutput();
        }

        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Blocks until the peer has closed the connection. */
        public void awaitClose() throws IOException {
            int read = 0;
            while (read >= 0) {
                read = socket.getInputStream().read();
            }
        }
    }

    public ScriptedServer(Script script) throws IOException {
        this(script, false);
    }

    /** A server whose script is called before the body of the request is read, for one request on each connection. */
    public static ScriptedServer answeringEarly(Script script) throws IOException {
        return new ScriptedServer(script, true);
    }

    private ScriptedServer(Script script, boolean answersEarly) throws IOException {
        this.script = script;
        this.answersEarly = answersEarly;
        this.listener = new ServerSocket();
        if (answersEarly) {
            listener.setReceiveBufferSize(EARLY_RECEIVE_BUFFER_BYTES);
        }
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        Thread acceptor = new Thread(this::accept, "scripted-server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    public List<Received> received() {
        return received;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                int number = sockets.size();
                Thread thread = new Thread(() -> serve(socket, number), "scripted-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
        }
    }

    private void serve(Socket socket, int number) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            do {
                Received request = read(in, number);
                received.add(request);
                script.answer(request, new Connection(socket, in));
            } while (!answersEarly);
        } catch (IOException e) {
            // One side closed the connection, which is part of many scripts.
        }
    }

    private Received read(InputStream in, int number) throws IOException {
        String[] requestLine = readLine(in).split(" ", -1);
        Map<String, String> headers = new TreeMap<>();
        List<String> lines = new ArrayList<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            lines.add(line);
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = answersEarly ? 0 : Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String body = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        return new Received(requestLine[0], requestLine[1], headers, lines, body, number);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("closed");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
