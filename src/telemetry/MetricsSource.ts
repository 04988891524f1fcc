/** Gives the metrics of a process as text. */
export interface MetricsSource {
    contentType: string;
    renderText(): Promise<string>;
}
