package io.figspan.host.entry;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.jackson.DatabindCodec;
import java.io.IOException;

/** Body of a prompt: the usual members of a completions request. Unknown members are ignored. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record CompletionRequest(
        @JsonProperty("model") String model,
        @JsonProperty("prompt") String prompt,
        @JsonProperty("max_tokens") Integer maxTokens) {
    /** Characters per token of the engines' tokenizer, for the estimate of a prompt's length. */
    static final int CHARS_PER_TOKEN = 4;

    /** Tokens generated for a request that does not say how many. */
    static final int DEFAULT_MAX_TOKENS = 64;

    /** Reads a body; the detail of a problem names the fault but repeats no part of the prompt. */
    static Result<CompletionRequest> parse(Buffer body) {
        try {
            CompletionRequest request = DatabindCodec.mapper().readValue(body.getBytes(), CompletionRequest.class);
            if (request == null || request.prompt() == null || request.prompt().isEmpty()) {
                return malformed("member 'prompt' is missing or empty");
            }
            if (request.maxTokens() != null && request.maxTokens() < 1) {
                return malformed("member 'max_tokens' is below 1");
            }
            return Result.ok(request);
        } catch (JsonProcessingException e) {
            return malformed("the body is not a JSON object of a completions request, at line "
                    + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()));
        } catch (IOException e) {
            return malformed("the body cannot be read");
        }
    }

    int promptTokens() {
        return tokensOf(prompt);
    }

    /** Estimated tokens of a text, rounded up. */
    static int tokensOf(String text) {
        return tokensOf(text.length());
    }

    static int tokensOf(int chars) {
        return (chars + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    int outputTokens() {
        return maxTokens == null ? DEFAULT_MAX_TOKENS : maxTokens;
    }

    private static Result<CompletionRequest> malformed(String detail) {
        return Result.failed(Problem.notRun(ProblemKind.MALFORMED_BODY, detail));
    }
}
