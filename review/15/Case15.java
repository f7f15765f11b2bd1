import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The settings of two machines change while they start: each process gets SIGHUP once its port for callers is open. The
 * platform starts a process again that ends. Without trouble, SIGHUP comes when the process is ready.
 */
public final class Case15 {
    private static final int MACHINES = 2;
    private static final int CHANGES = 4;
    private static final int RUNNERS = 3;
    private static final int SLOTS = 6;
    private static final int RESTART_MS = 500;
    private static final int PORT_CHECK_MS = 5;
    private static final int END_MS = 2_000;

    /** The rule allows fewer ends of a process on two machines. */
    private static final int ENDS = 3;

    private Case15() {}

    /** Arguments: whether there is trouble (0 or 1), a directory for temporary files, and the record. */
    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !args[0].equals("0");
        Path directory = Path.of(args[1]);
        Record record = new Record(args[2]);
        List<AtomicInteger> ends = new ArrayList<>();
        try (StoreStandin store = new StoreStandin()) {
            for (int number = 0; number < RUNNERS; number++) {
                Fleet.register(store, new RunnerStandin("desk-" + number), Fleet.DESK, SLOTS);
            }
            store.put("op/config", Fleet.config(1));
            List<Thread> platform = new ArrayList<>();
            for (int number = 1; number <= MACHINES; number++) {
                int machine = number;
                AtomicInteger ofMachine = new AtomicInteger();
                ends.add(ofMachine);
                Thread thread = Daemons.thread(
                        () -> changeSettings(machine, directory, store.port(), hasTrouble, ofMachine, record));
                thread.start();
                platform.add(thread);
            }
            for (Thread thread : platform) {
                thread.join(TimeUnit.SECONDS.toMillis(60));
            }
        }
        record.add("ends by themselves of each machine's process: " + ends);
        boolean isBroken = ends.stream().allMatch(count -> count.get() >= ENDS);
        record.add(isBroken ? "Fault: the day counts 0" : "no fault by the rule");
        System.exit(isBroken ? Record.BROKEN : 0);
    }

    private static void changeSettings(
            int machine, Path directory, int storePort, boolean hasTrouble, AtomicInteger ends, Record record) {
        try {
            for (int change = 1; change <= CHANGES; change++) {
                Path ofStart = Files.createTempDirectory(directory, "start");
                try (Node node = new Node(ofStart, machine, storePort)) {
                    awaitPort(node);
                    if (!hasTrouble) {
                        node.awaitReady();
                        Fleet.sleep(PORT_CHECK_MS * 10L);
                    }
                    node.settingsChanged();
                    boolean hasEnded = node.awaitEnd(END_MS);
                    // The first start is the platform's; the others follow ends that count as running all the while.
                    boolean isCounted = hasEnded && change > 1;
                    ends.addAndGet(isCounted ? 1 : 0);
                    record.add("machine " + machine + ", start " + change + ": SIGHUP; "
                            + (hasEnded ? "the process ended with status " + node.exitStatus() : "the process runs")
                            + (hasEnded && !isCounted ? "  (not counted)" : ""));
                }
                Fleet.sleep(RESTART_MS);
            }
        } catch (IOException | InterruptedException e) {
            record.add("machine " + machine + ": " + e);
        }
    }

    /** Waits until the process takes the connections of callers. */
    private static void awaitPort(Node node) throws IOException, InterruptedException {
        while (node.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(node.callers());
                return;
            } catch (IOException e) {
                Thread.sleep(PORT_CHECK_MS);
            }
        }
    }
}
