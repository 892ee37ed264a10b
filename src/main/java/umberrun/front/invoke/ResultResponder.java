package umberrun.front.invoke;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import umberrun.admission.MemoryBudget;
import umberrun.core.Invocation;
import umberrun.core.Result;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/** Writes the responses to requests for the result of an invocation. */
final class ResultResponder {
  private static final long ANSWER_RETRY_MILLIS = 1_000;

  private final MemoryBudget answerBudget;
  private final Counters counters;

  /**
   * @param answerBudget limits the results that wait to be sent
   */
  ResultResponder(MemoryBudget answerBudget, Counters counters) {
    this.answerBudget = answerBudget;
    this.counters = counters;
  }

  /** Answers 202 with the location at which the result can be collected. */
  void answerAccepted(HttpServerRequest request, Invocation invocation) {
    HttpServerResponse response = request.response();
    if (!response.closed() && !response.ended()) {
      response
          .setStatusCode(202)
          .putHeader("Location", "/v1/invocations/" + invocation.id())
          .putHeader("Retry-After", "1")
          .end();
    }
  }

  /** Answers with a result, unless the client is gone or has been answered. */
  void answer(HttpServerRequest request, Result result) {
    HttpServerResponse response = request.response();
    if (response.closed() || response.ended()) {
      return;
    }
    if (result instanceof Result.Served served) {
      answerServed(request, served.body());
    } else if (result instanceof Result.Refused refused) {
      new Problem(
              refused.overloaded() ? 429 : 503,
              "not run; trying again does no harm",
              refused.backoffMillis())
          .write(response);
    } else if (result instanceof Result.Failed failed) {
      new Problem(
              failed.timedOut() ? 504 : 502,
              failed.timedOut()
                  ? "no answer in time; it may have run"
                  : "no worker served it; it may have run")
          .write(response);
    } else if (result instanceof Result.Dropped) {
      new Problem(410, "it was served, and its result is no longer kept").write(response);
    } else {
      new Problem(410, "the invocation was given up").write(response);
    }
  }

  /** Answers with the worker's bytes, if there is room for them until the client has read them. */
  private void answerServed(HttpServerRequest request, Buffer body) {
    HttpServerResponse response = request.response();
    int bytes = body.length();
    if (answerBudget.hasRoomFor(bytes)) {
      answerBudget.charge(bytes);
      response
          .setStatusCode(200)
          .putHeader("Content-Type", "application/octet-stream")
          .end(body)
          .onComplete(v -> answerBudget.release(bytes));
      return;
    }
    counters.add(Count.ANSWERS_DROPPED);
    if (request.method().equals(HttpMethod.GET)) {
      // The result is kept, and can be asked for again.
      new Problem(503, "no room for the answer now", ANSWER_RETRY_MILLIS).write(response);
    } else {
      new Problem(502, "no room for its answer; it has run").write(response);
    }
  }
}
