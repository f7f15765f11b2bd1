package io.figspan.cli.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.figspan.cli.Console;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Results of a load run: a row for each prompt length, orders, and the counts of broken promises. */
record LoadSummary(List<Row> rows, Orders orders, int holdsNotReturned, Map<String, Integer> refusals) {
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Prompts of one length. Times are in milliseconds, of the answered prompts. */
    record Row(
            int promptTokens,
            int sent,
            int answered,
            int refused,
            int wrong,
            int lost,
            int resumed,
            long firstTokenP50Ms,
            long firstTokenP95Ms) {}

    /**
     * Orders.
     *
     * @param ran orders that the services' record has at least once
     * @param ranTwice orders that the record has more than once
     * @param falseNotRun orders whose caller was told notRun although the record has them
     * @param falseRan orders whose caller was told ran although the record has none
     */
    record Orders(int sent, int ran, int toldNotRun, int toldUnknown, int ranTwice, int falseNotRun, int falseRan) {}

    static LoadSummary of(
            List<PromptResult> prompts, List<OrderResult> orders, Map<String, Integer> runs, int holdsNotReturned) {
        Map<Integer, List<PromptResult>> byLength = new TreeMap<>();
        Map<String, Integer> refusals = new TreeMap<>();
        for (PromptResult result : prompts) {
            byLength.computeIfAbsent(result.tokens(), tokens -> new ArrayList<>())
                    .add(result);
            if (!result.detail().isEmpty()) {
                refusals.merge(result.kind() + " " + result.detail(), 1, Integer::sum);
            }
        }
        List<Row> rows = new ArrayList<>();
        byLength.forEach((tokens, results) -> rows.add(row(tokens, results)));
        return new LoadSummary(rows, orders(orders, runs), holdsNotReturned, refusals);
    }

    /** Whether each kind of request was served at all; a run that only refuses shows nothing. */
    boolean allKindsServed() {
        boolean ordersServed = orders.sent() == 0 || orders.ran() > 0;
        return ordersServed && rows.stream().allMatch(row -> row.answered() > 0);
    }

    boolean allPromisesHeld() {
        boolean promptsHeld = rows.stream().allMatch(row -> row.wrong() == 0 && row.lost() == 0);
        return promptsHeld
                && orders.ranTwice() == 0
                && orders.falseNotRun() == 0
                && orders.falseRan() == 0
                && holdsNotReturned == 0;
    }

    void print(Console console, boolean json) {
        if (json) {
            ObjectNode document = new ObjectMapper().valueToTree(this);
            document.put("allPromisesHeld", allPromisesHeld());
            document.put("allKindsServed", allKindsServed());
            console.json(document);
            return;
        }
        console.line(String.format(
                "%13s %6s %9s %8s %6s %5s %8s %16s %16s",
                "prompt tokens", "sent", "answered", "refused", "wrong", "lost", "resumed", "first token p50", "p95"));
        for (Row row : rows) {
            console.line(String.format(
                    "%13d %6d %9d %8d %6d %5d %8d %13d ms %13d ms",
                    row.promptTokens(),
                    row.sent(),
                    row.answered(),
                    row.refused(),
                    row.wrong(),
                    row.lost(),
                    row.resumed(),
                    row.firstTokenP50Ms(),
                    row.firstTokenP95Ms()));
        }
        refusals.forEach((reason, count) -> console.line("  " + count + " x " + reason));
        console.line(String.format(
                "orders: %d sent, %d run, %d told notRun, %d told unknown",
                orders.sent(), orders.ran(), orders.toldNotRun(), orders.toldUnknown()));
        console.line(String.format(
                "broken promises: %d run twice, %d false notRun, %d false ran, %d holds not returned",
                orders.ranTwice(), orders.falseNotRun(), orders.falseRan(), holdsNotReturned));
        console.line(allPromisesHeld() ? "all promises held" : "PROMISES WERE BROKEN");
        if (!allKindsServed()) {
            console.line("a kind of request was sent and never served");
        }
    }

    private static Row row(int tokens, List<PromptResult> results) {
        Histogram firstToken = new Histogram(TimeUnit.MINUTES.toMillis(10), SIGNIFICANT_DIGITS);
        Map<PromptResult.Kind, Integer> kinds = new EnumMap<>(PromptResult.Kind.class);
        int resumed = 0;
        for (PromptResult result : results) {
            kinds.merge(result.kind(), 1, Integer::sum);
            resumed += result.resumes() + result.restarts() > 0 ? 1 : 0;
            if (result.kind() == PromptResult.Kind.ANSWERED) {
                firstToken.recordValue(TimeUnit.NANOSECONDS.toMillis(result.firstTokenNanos()));
            }
        }
        return new Row(
                tokens,
                results.size(),
                kinds.getOrDefault(PromptResult.Kind.ANSWERED, 0),
                kinds.getOrDefault(PromptResult.Kind.REFUSED, 0),
                kinds.getOrDefault(PromptResult.Kind.WRONG, 0),
                kinds.getOrDefault(PromptResult.Kind.LOST, 0),
                resumed,
                firstToken.getValueAtPercentile(50),
                firstToken.getValueAtPercentile(95));
    }

    private static Orders orders(List<OrderResult> results, Map<String, Integer> runs) {
        int ran = 0;
        int toldNotRun = 0;
        int toldUnknown = 0;
        int ranTwice = 0;
        int falseNotRun = 0;
        int falseRan = 0;
        for (OrderResult result : results) {
            int recorded = runs.getOrDefault(result.order(), 0);
            ran += recorded > 0 ? 1 : 0;
            ranTwice += recorded > 1 ? 1 : 0;
            toldNotRun += result.run().equals("notRun") ? 1 : 0;
            toldUnknown += result.run().equals("unknown") ? 1 : 0;
            falseNotRun += result.run().equals("notRun") && recorded > 0 ? 1 : 0;
            falseRan += result.run().equals("ran") && recorded == 0 ? 1 : 0;
        }
        return new Orders(results.size(), ran, toldNotRun, toldUnknown, ranTwice, falseNotRun, falseRan);
    }
}
