package umberrun.front.invoke;

import com.google.gson.JsonObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vertx.core.http.HttpServerResponse;

/** An error response of the invoke API, in the problem details format of RFC 9457. */
final class Problem extends Exception {
  private static final long serialVersionUID = 1;

  private final int status;
  private final long retryMillis;

  /** A problem without a {@code Retry-After} header. */
  Problem(int status, String detail) {
    this(status, detail, -1);
  }

  /**
   * @param retryMillis delay after which the client may retry, or -1 for no {@code Retry-After}
   */
  Problem(int status, String detail, long retryMillis) {
    super(detail, null, false, false);
    this.status = status;
    this.retryMillis = retryMillis;
  }

  /** Writes the response unless it has already ended. */
  void write(HttpServerResponse response) {
    if (response.ended() || response.closed()) {
      return;
    }
    JsonObject problem = new JsonObject();
    problem.addProperty("type", "about:blank");
    problem.addProperty("title", HttpResponseStatus.valueOf(status).reasonPhrase());
    problem.addProperty("status", status);
    problem.addProperty("detail", getMessage());
    response.setStatusCode(status).putHeader("Content-Type", "application/problem+json");
    if (retryMillis >= 0) {
      response.putHeader("Retry-After", Long.toString(Math.max(1, (retryMillis + 999) / 1_000)));
    }
    response.end(problem.toString());
  }
}
