package umberrun.front.invoke;

import com.google.gson.JsonObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vertx.core.http.HttpServerResponse;

/** An error answer as RFC 9457 has it. */
final class Problem extends Exception {
  private static final long serialVersionUID = 1;

  private final int status;
  private final long retryMillis;

  Problem(int status, String detail) {
    this(status, detail, -1);
  }

  /**
   * @param retryMillis when the client may come back, or -1
   */
  Problem(int status, String detail, long retryMillis) {
    super(detail, null, false, false);
    this.status = status;
    this.retryMillis = retryMillis;
  }

  void write(HttpServerResponse response) {
    if (response.ended() || response.closed()) {
      return;
    }
    JsonObject o = new JsonObject();
    o.addProperty("type", "about:blank");
    o.addProperty("title", HttpResponseStatus.valueOf(status).reasonPhrase());
    o.addProperty("status", status);
    o.addProperty("detail", getMessage());
    response.setStatusCode(status).putHeader("Content-Type", "application/problem+json");
    if (retryMillis >= 0) {
      response.putHeader("Retry-After", Long.toString(Math.max(1, (retryMillis + 999) / 1_000)));
    }
    response.end(o.toString());
  }
}
