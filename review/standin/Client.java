package io.figspan.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;

/** A caller that sends one request on a connection of its own and reads the answer as it arrives. */
final class Client {
    private Client() {}

    /**
     * The end of one request.
     *
     * @param status status of the answer; 0 if none came
     * @param isComplete whether the answer has arrived to its end
     * @param endMs when the client had the whole answer or left, on the clock of the record
     * @param text the body, or why there is none
     */
    record Outcome(String attemptId, int status, boolean isComplete, long tookMs, long endMs, String text) {
        /** Whether a stream has begun. */
        boolean hasBegun() {
            return status == 200 && text.contains("id: 1");
        }
    }

    static String promptHeaders(int tokens, String prefix) {
        return "Figspan-Model: m\r\nFigspan-Token-Counts: " + tokens + ",80\r\nFigspan-Prompt-Prefix: " + prefix
                + "\r\n";
    }

    static Outcome send(
            Recorder recorder,
            Host host,
            String method,
            String path,
            String extraHeaders,
            String body,
            long deadlineMs,
            long gapMs) {
        return sendWithKey(recorder, host, method, path, extraHeaders, body, deadlineMs, gapMs, "key-1");
    }

    static Outcome sendWithKey(
            Recorder recorder,
            Host host,
            String method,
            String path,
            String extraHeaders,
            String body,
            long deadlineMs,
            long gapMs,
            String key) {
        String attemptId = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        long startNanos = System.nanoTime();
        int status = 0;
        StringBuilder text = new StringBuilder();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host.ip(), host.callerPort()), 1_000);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: figspan.example\r\nFigspan-Attempt-Id: " + attemptId
                    + "\r\nFigspan-Deadline-Ms: " + deadlineMs + "\r\nX-Api-Key: " + key + "\r\n" + extraHeaders
                    + (method.equals("GET") ? "" : "Content-Length: " + bytes.length + "\r\n") + "\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(bytes);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            socket.setSoTimeout((int) deadlineMs);
            String startLine = readStartLine(in);
            status = Integer.parseInt(startLine.split(" ", 3)[1]);
            Map<String, String> headers = HttpMessage.readHeaders(in);
            if (headers.containsKey("content-length")) {
                text.append(new String(
                        in.readNBytes(Integer.parseInt(headers.get("content-length"))), StandardCharsets.UTF_8));
            } else {
                readEvents(socket, in, text, startNanos, deadlineMs, gapMs);
            }
            return new Outcome(attemptId, status, true, tookMs(startNanos), recorder.elapsedMs(), text.toString());
        } catch (SocketTimeoutException e) {
            return new Outcome(
                    attemptId,
                    status,
                    false,
                    tookMs(startNanos),
                    recorder.elapsedMs(),
                    text + "given up: " + e.getMessage());
        } catch (IOException | RuntimeException e) {
            return new Outcome(attemptId, status, false, tookMs(startNanos), recorder.elapsedMs(), text + e.toString());
        }
    }

    /** Reads a stream. Leaves after the gap without an event or at the deadline, as PROTOCOL.md says of clients. */
    private static void readEvents(
            Socket socket, InputStream in, StringBuilder text, long startNanos, long deadlineMs, long gapMs)
            throws IOException {
        long lastEventNanos = System.nanoTime();
        while (true) {
            long leftMs = Math.min(gapMs - tookMs(lastEventNanos), deadlineMs - tookMs(startNanos));
            if (leftMs <= 0) {
                throw new SocketTimeoutException("no event for too long");
            }
            socket.setSoTimeout((int) leftMs);
            byte[] chunk = HttpMessage.readChunk(in);
            if (chunk.length == 0) {
                return;
            }
            String piece = new String(chunk, StandardCharsets.UTF_8);
            if (piece.contains("id:")) {
                lastEventNanos = System.nanoTime();
                text.append(piece);
            }
        }
    }

    private static String readStartLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int read;
        while ((read = in.read()) != '\n') {
            if (read < 0) {
                throw new IOException("the connection was closed without an answer");
            }
            line.append((char) read);
        }
        return line.toString().strip();
    }

    private static long tookMs(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
