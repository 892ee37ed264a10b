package umberrun;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import umberrun.admission.ConnectionLimits;
import umberrun.config.Config;
import umberrun.config.OperatorFile;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.core.Lifecycle;
import umberrun.fleet.net.FleetManager;
import umberrun.lease.net.LeaseManager;
import umberrun.stats.Counters;
import umberrun.workerlist.ConsulSource;
import umberrun.works.net.WorksManager;

/**
 * Puts together what front ends do with each other: the view of the fleet, duties by lease, works.
 * Made, and with it the classes of all three loaded, only where the operator's file has them.
 */
final class FleetAssembly {
  private final FleetManager fleet;
  private final LeaseManager leases;
  private final WorksManager works;
  private final Lifecycle duty;

  /**
   * @param shared the folder that processes of this front end share, or null
   */
  FleetAssembly(
      Vertx vertx,
      DispatchLoop owner,
      Clock clock,
      Counters counters,
      ConnectionLimits account,
      Config config,
      Lifecycle duty,
      Path shared,
      Consumer<String> log) {
    OperatorFile file = config.operatorFile();
    List<String> halls = config.names().zones();
    int zone = config.settings().zone();
    String hall = zone < halls.size() ? halls.get(zone) : "";
    this.duty = duty;
    fleet =
        new FleetManager(
            vertx,
            owner,
            clock,
            counters,
            account,
            file.fleet(),
            new FleetManager.Identity(
                config.name(),
                hall,
                file.learning() == null ? "" : file.learning().listen().toString(),
                config.operatorAddress() == null ? "" : config.operatorAddress().toString(),
                config.settings().frontEndCount(),
                config.seed()),
            duty::state,
            log);
    leases =
        file.leases() == null
            ? null
            : new LeaseManager(
                vertx,
                clock,
                owner,
                counters,
                file.leases(),
                fleet,
                file.fleet().name(),
                halls,
                hall,
                config.seed(),
                duty::state,
                log);
    works =
        file.works() == null
            ? null
            : new WorksManager(
                vertx,
                clock,
                owner,
                counters,
                file.works(),
                fleet,
                leases.registers(),
                halls,
                config.names().kinds(),
                shared,
                log);
    if (works != null) {
      leases.addDuty(works.duty(), works);
    }
  }

  /**
   * @param consul where members are looked for too, or null
   */
  void start(ConsulSource consul) {
    fleet.start(consul);
  }

  Future<List<SocketAddress>> learners() {
    return fleet.factPeers();
  }

  /** Another process of this front end begins or ceases to run beside this one. */
  void accompanied(boolean is) {
    if (works != null) {
      works.setAccompanied(is);
    }
  }

  void resumedByHand(String worker) {
    if (works != null) {
      works.onManualResume(worker);
    }
  }

  /** Done once this front end is bound by what plans have out. */
  Future<Void> bound() {
    return works == null ? Future.succeededFuture() : works.whenBound();
  }

  /**
   * The process was told to end: duties are given back, and where it has a successor, that one gets
   * listener and voter's folder.
   */
  void leave(boolean succeeded) {
    Future<Void> given = leases == null ? Future.succeededFuture() : leases.leave();
    if (succeeded) {
      given
          .compose(v -> leases == null ? Future.succeededFuture() : leases.close())
          .onComplete(v -> fleet.leave(true));
    }
  }

  /** Nothing more goes out to workers: off the roll, and good-bye. */
  Future<Void> end() {
    Future<Void> offRoll =
        works == null
            ? Future.succeededFuture()
            : works.leave(duty.state() == Lifecycle.State.HANDING_OVER);
    return offRoll.onComplete(v -> fleet.leave(false));
  }
}
