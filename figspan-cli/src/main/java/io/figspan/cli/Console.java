package io.figspan.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.io.PrintStream;

/** Where a command prints to: results to {@code out}, errors to {@code err}. */
public record Console(PrintStream out, PrintStream err) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    public static Console system() {
        return new Console(System.out, System.err);
    }

    public void line(String text) {
        out.println(text);
    }

    public void error(String text) {
        err.println(text);
    }

    /** Prints a JSON document with indentation. */
    public void json(JsonNode document) {
        try {
            out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(document));
        } catch (JsonProcessingException e) {
            throw new FigspanException(ProblemKind.INTERNAL, "the output cannot be written", Location.of("json"), e);
        }
    }
}
