import type { OrderCondition, OrderResult, RankCounts, RankExperts, RankOrder, RankReport } from "./RankReport.js";

/** Link to one rank of a group; the read methods reject if the rank does not answer. */
export abstract class RankLink {
    /** Reads the rank's report, which reflects all orders answered so far. */
    abstract readReport(): Promise<RankReport>;
    abstract readCounts(): Promise<RankCounts>;
    /** Reads the experts that the map in use assigns to the rank. */
    abstract readExperts(): Promise<RankExperts>;
    /**
     * Sends an order; never rejects, since an order without an answer may have been executed.
     * @param order - Order.
     * @param condition - Condition that must hold when the order is executed.
     */
    abstract sendOrder(order: RankOrder, condition: OrderCondition): Promise<OrderResult>;
}
