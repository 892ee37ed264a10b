package umberrun.lease.net;

import com.google.gson.JsonObject;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * The duty {@code beacon}: one front end at a time reports on the fleet to an address of the
 * operators', by HTTP POST with its fence. A receiver that has seen a greater fence answers 409,
 * and the duty is let go of.
 */
final class FleetReporter implements DutyRunner.DutyTask {
  private static final int PATIENCE_MILLIS = 1_000;
  private static final int REFUSED = 409;

  private final Vertx vertx;
  private final HttpClient client;
  private final SocketAddress to;
  private final long every;
  private final Counters counters;
  private final Supplier<JsonObject> report;
  private final Runnable overtaken;
  private long timer = -1;
  private long seq;

  FleetReporter(
      Vertx vertx,
      SocketAddress to,
      long every,
      Counters counters,
      Supplier<JsonObject> report,
      Runnable overtaken) {
    this.vertx = vertx;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(PATIENCE_MILLIS).setIdleTimeout(2));
    this.to = to;
    this.every = every;
    this.counters = counters;
    this.report = report;
    this.overtaken = overtaken;
  }

  @Override
  public void start(LongSupplier mayAct) {
    stop();
    act(mayAct);
    timer = vertx.setPeriodic(every, t -> act(mayAct));
  }

  private void act(LongSupplier mayAct) {
    JsonObject o = report.get();
    long fence =
        mayAct
            .getAsLong(); // last before it goes: what the process was stopped for meanwhile counts
    if (fence < 0) {
      return;
    }
    o.addProperty("fence", fence);
    o.addProperty("seq", ++seq);
    counters.add(Count.LEASE_ACTS);
    client
        .request(HttpMethod.POST, to.port(), to.host(), "/v1/beacon")
        .compose(
            r -> {
              if (mayAct.getAsLong() != fence) { // the connection took its time
                r.reset();
                throw new IllegalStateException("no longer held");
              }
              return r.idleTimeout(PATIENCE_MILLIS)
                  .putHeader("Content-Type", "application/json")
                  .send(o.toString());
            })
        .onSuccess(
            r -> {
              if (r.statusCode() == REFUSED) {
                overtaken.run();
              }
            }); // a receiver that can't be reached is the operators' to notice: it hears nothing
  }

  @Override
  public void stop() {
    vertx.cancelTimer(timer);
    timer = -1;
  }
}
