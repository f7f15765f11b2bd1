package io.figspan.bench.slopes;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Table of one figure for each line by fleet size, with the fitted line. */
final class SlopeTable {
    private final int[] sizes;
    private final List<Row> rows = new ArrayList<>();

    private record Row(String figure, String unit, List<Double> values) {}

    SlopeTable(int[] sizes) {
        this.sizes = sizes.clone();
    }

    void add(String figure, String unit, double[] values) {
        rows.add(new Row(figure, unit, Arrays.stream(values).boxed().toList()));
    }

    void print(PrintStream out) {
        StringBuilder head = new StringBuilder("| figure for each host | unit |");
        StringBuilder rule = new StringBuilder("|---|---|");
        for (int size : sizes) {
            head.append(' ').append(size).append(" |");
            rule.append("---:|");
        }
        out.println(head + " intercept | slope for each host | error |");
        out.println(rule + "---:|---:|---:|");
        for (Row row : rows) {
            out.println(line(row));
        }
    }

    private String line(Row row) {
        StringBuilder line = new StringBuilder("| " + row.figure() + " | " + row.unit() + " |");
        double[] xs = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            xs[i] = sizes[i];
            line.append(' ').append(number(row.values().get(i))).append(" |");
        }
        LineFit fit = LineFit.through(
                xs, row.values().stream().mapToDouble(Double::doubleValue).toArray());
        return line + " " + number(fit.intercept()) + " | " + number(fit.slope()) + " | " + number(fit.slopeError())
                + " |";
    }

    static String number(double value) {
        double size = Math.abs(value);
        if (size >= 1_000) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        return String.format(Locale.ROOT, size >= 10 ? "%.1f" : "%.3g", value);
    }
}
