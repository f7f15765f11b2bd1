import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A sound runner. It begins to answer a long request before it has read all of it, and reads on half a second later.
 * Its answer, a series of events, has no length and ends with the connection. It prints its port, and what it does.
 */
public final class EarlyAnswerRunner {
    static final String FIRST_HALF = events(1, 5);
    static final String SECOND_HALF = events(6, 10);
    private static final long PAUSE_MS = 500;

    private EarlyAnswerRunner() {}

    private static String events(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(id -> "id: " + id + "\ndata: piece " + id + "\n\n")
                .collect(Collectors.joining());
    }

    public static void main(String[] arguments) throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            // Links have small windows (DEPLOY.md, Network).
            listener.setReceiveBufferSize(8 * 1_024);
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
            System.out.println(listener.getLocalPort());
            while (true) {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            }
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 8 * 1_024);
            Http.Head head = Http.readHead(in);
            System.out.println("runs " + head.header("figspan-attempt-id"));
            Http.write(
                    socket.getOutputStream(),
                    "HTTP/1.1 200 OK\r\nFigspan-Attempt-Id: " + head.header("figspan-attempt-id")
                            + "\r\nFigspan-Response-Stamp: 3e1b.07\r\nContent-Type: text/event-stream\r\n"
                            + "Connection: close\r\n\r\n" + FIRST_HALF);
            System.out.println("has sent the first half of its answer");
            Thread.sleep(PAUSE_MS);
            int read = Http.readBody(in, head).length;
            System.out.println("has read all " + read + " bytes of the request");
            Http.write(socket.getOutputStream(), SECOND_HALF);
            socket.shutdownOutput();
            System.out.println("has sent its whole answer");
            in.read();
        } catch (IOException e) {
            System.out.println("connection lost: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
